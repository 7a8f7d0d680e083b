package fakes

import "testing"

func TestFreeAddressesAreDistinct(t *testing.T) {
	const count = 500
	addresses, err := FreeAddresses(count)
	if err != nil {
		t.Fatal(err)
	}
	distinct := map[string]bool{}
	for _, address := range addresses {
		distinct[address] = true
	}
	if len(distinct) != count {
		t.Errorf("got %d addresses, but only %d distinct ones", count, len(distinct))
	}
}
