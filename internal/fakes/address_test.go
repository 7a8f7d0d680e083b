package fakes

import "testing"

func TestFreeAddressesAreEachAnother(t *testing.T) {
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
		t.Errorf("%d addresses, %d of them distinct", count, len(distinct))
	}
}
