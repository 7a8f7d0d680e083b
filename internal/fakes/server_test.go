package fakes

import (
	"net"
	"testing"
)

// A server that was down must restart at the same address, on the loopback address that this process uses for servers.
// That address differs from the one for managers.
func TestServerRestartsAtSameAddress(t *testing.T) {
	own, err := listenOnProcessLoopback(serverNetwork)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	manager, err := FreeAddress()
	if err != nil || host(t, manager) == host(t, own.Addr().String()) {
		t.Errorf("managers and servers share the loopback address of %s: %v", manager, err)
	}
	servers, err := NewServers(DefaultSite(2, 1))
	if err != nil {
		t.Fatal(err)
	}
	for _, server := range servers {
		defer server.Close()
		address := server.Address
		if host(t, address) != host(t, own.Addr().String()) {
			t.Errorf("server address %s is not on the loopback address of this process, as %s is", address, own.Addr())
		}
		if err := server.SetBehaviour(Down); err != nil {
			t.Fatal(err)
		}
		if _, err := net.Dial("tcp", address); err == nil {
			t.Errorf("%s accepts connections although the server is down", address)
		}
		if err := server.SetBehaviour(Healthy); err != nil || server.Address != address {
			t.Errorf("restart: error %v, address %s, want %s", err, server.Address, address)
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
