package fakes

import (
	"fmt"
	"net"
	"os"
)

// FreeAddress returns an address that nothing listens at. It is on a loopback address of this process's own where the
// system has several, so that no other process takes the port before the manager does.
func FreeAddress() (string, error) {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

// FreeAddresses returns as many distinct addresses that nothing listens at. All are held until the last is found,
// since an address that was released may be found again.
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
			return nil, fmt.Errorf("find a free address: %w", err)
		}
		held = append(held, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Second byte of the loopback addresses of this process: managers and servers have one each, since a connection to an
// address may be made from the same address, and then takes one of its ports for a while.
const (
	managersNet = 64
	serversNet  = 128
)

// listenOnOwnLoopback listens at any port of the loopback address of this process for managers or servers. Where the
// system has one loopback address only, it listens there.
func listenOnOwnLoopback(network int) (net.Listener, error) {
	id := os.Getpid()
	address := fmt.Sprintf("127.%d.%d.%d:0", network+id>>16&63, id>>8&255, 1+id&127)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return net.Listen("tcp", "127.0.0.1:0")
	}
	return listener, nil
}
