package integration

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/juju/errors"
)

// The ports are below the ephemeral port range, so that no outgoing connection
// or listener on port 0 takes one between its allocation and its use, or while
// the process that uses it is restarted.
const (
	firstPort = 20_000
	lastPort  = 32_000
	maxTries  = 1000
)

// allocated holds the ports that this test process has allocated.
var allocated = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// freeAddresses returns addresses of 127.0.0.1 with ports that are free now and
// were not allocated before.
func freeAddresses(count int) ([]string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	var addresses []string
	for range maxTries {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if allocated.ports[port] || !isFree(address) {
			continue
		}
		allocated.ports[port] = true
		addresses = append(addresses, address)
	}
	return nil, errors.Errorf("no %d free ports between %d and %d", count, firstPort, lastPort)
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	listener.Close()
	return true
}
