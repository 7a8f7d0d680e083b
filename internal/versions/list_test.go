package versions

import "testing"

func TestAManagerBeginsWithTheLaterList(t *testing.T) {
	for _, one := range []struct {
		told, stored int64
		servers      int
		want         bool
	}{
		{41, 0, 0, false},
		{41, 40, 10, false},
		{41, 41, 10, false},
		{41, 42, 10, true},
		{41, 42, 0, false}, // an empty list is not begun with
		{0, 1, 1, true},
	} {
		if got := StoredListIsNewer(one.told, one.stored, one.servers); got != one.want {
			t.Errorf("%+v: %v", one, got)
		}
	}
}
