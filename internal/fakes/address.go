package fakes

import (
	"fmt"
	"net"
	"os"
)

// Free is an address that nothing listens at, on a loopback address of this process's own where there are several.
// Guards against another process that takes the port before the manager does.
func FreeAddress() (string, error) {
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
		listener, err := listenOnOwnLoopback(managersNet)
		if err != nil {
			return nil, err
		}
		held = append(held, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Loopback addresses of this process's own: managers and servers each have one, since a connection to an address may be
// made from the same address, and then takes one of its ports for a while.
const (
	managersNet = 64
	serversNet  = 128
)

// listenOnOwnLoopback listens at any port of this process's own loopback address of a kind, where there are several.
func listenOnOwnLoopback(kind int) (net.Listener, error) {
	id := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", kind+id>>16&63, id>>8&255, 1+id&127))
	if err != nil {
		return net.Listen("tcp", "127.0.0.1:0")
	}
	return listener, nil
}
