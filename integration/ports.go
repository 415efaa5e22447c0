package integration

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/juju/errors"
)

// The ports are below the range from which the system takes ports by itself, so
// that no outgoing connection or listener on port 0 takes one between its
// choice and its use, or while the process that uses it is restarted.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portTries = 1000
)

// chosen holds the ports that this process has chosen before.
var chosen = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// freeAddresses returns addresses of 127.0.0.1 with ports that are free now and
// were not chosen before.
func freeAddresses(count int) ([]string, error) {
	chosen.Lock()
	defer chosen.Unlock()
	var addresses []string
	for range portTries {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if chosen.ports[port] || !isFree(address) {
			continue
		}
		chosen.ports[port] = true
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
