package stand

import (
	"fmt"
	"net"
	"os"
)

// Free is an address that nothing listens at, on a loopback address of this process's own where there are several.
// Guards against another process that takes the port before the manager does.
func Free() (string, error) {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

// FreeAddresses are so many addresses that nothing listens at, each another one. All are held until the last is found:
// an address that was let go may be found again.
func FreeAddresses(count int) (addresses []string, err error) {
	var held []net.Listener
	defer func() {
		for _, listener := range held {
			listener.Close()
		}
	}()
	for range count {
		listener, err := listenOnOwnLoopback()
		if err != nil {
			return nil, err
		}
		held = append(held, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// listenOnOwnLoopback listens at any port of a loopback address of this process's own, where there are several.
func listenOnOwnLoopback() (net.Listener, error) {
	id := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+id>>16&63, id>>8&255, 1+id&127))
	if err != nil {
		return net.Listen("tcp", "127.0.0.1:0")
	}
	return listener, nil
}
