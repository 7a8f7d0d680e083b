package fakes

import (
	"fmt"
	"net"
	"os"
)

// FreeAddress returns a loopback address with an unused port. Where the system has several loopback addresses, it is on
// one that is specific to this process, so that no other process takes the port before the manager does.
func FreeAddress() (string, error) {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

// FreeAddresses returns count distinct loopback addresses with unused ports. It keeps a listener on each until the last
// is found, because the system may hand out a released port again.
func FreeAddresses(count int) (addresses []string, err error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			listener.Close()
		}
	}()
	for range count {
		listener, err := listenOnProcessLoopback(managerNetwork)
		if err != nil {
			return nil, fmt.Errorf("find an unused address: %w", err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Base of the second byte of this process's loopback addresses. Managers and servers use different addresses, because a
// connection to an address may also originate from it and then occupies one of its ports for a while.
const (
	managerNetwork = 64
	serverNetwork  = 128
)

// listenOnProcessLoopback listens on any free port of the loopback address that this process uses for managers or for
// servers. Where the system has only one loopback address, it listens on 127.0.0.1.
func listenOnProcessLoopback(network int) (net.Listener, error) {
	id := os.Getpid()
	address := fmt.Sprintf("127.%d.%d.%d:0", network+id>>16&63, id>>8&255, 1+id&127)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return net.Listen("tcp", "127.0.0.1:0")
	}
	return listener, nil
}
