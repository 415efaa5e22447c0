package integration

import (
	"net"

	"github.com/juju/errors"
)

// freeAddresses returns addresses of 127.0.0.1 with ports that are free now.
// All are held until the last is chosen, so that they differ. Another process
// may take one before it is used; the program that wanted it then fails to start.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Annotate(err, "choosing a port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
