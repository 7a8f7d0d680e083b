package fakes

import (
	"net"
	"testing"
)

func TestAServerComesBackAtAnAddressOfThisProcess(t *testing.T) {
	own, err := listenOnOwnLoopback(serversNet)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	manager, err := FreeAddress()
	if err != nil || host(t, manager) == host(t, own.Addr().String()) {
		t.Errorf("managers and servers share %s: %v", manager, err)
	}
	servers, err := NewServers(DefaultSite(2, 1))
	if err != nil {
		t.Fatal(err)
	}
	for _, server := range servers {
		defer server.Close()
		address := server.Address
		if host(t, address) != host(t, own.Addr().String()) {
			t.Errorf("%s is not on the loopback address of this process, %s", address, own.Addr())
		}
		if err := server.SetBehaviour(Down); err != nil {
			t.Fatal(err)
		}
		if _, err := net.Dial("tcp", address); err == nil {
			t.Errorf("%s answers though it is down", address)
		}
		if err := server.SetBehaviour(Healthy); err != nil || server.Address != address {
			t.Errorf("%v, %s after %s", err, server.Address, address)
		}
	}
}

func host(t *testing.T, address string) string {
	t.Helper()
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return name
}
