package scale

import (
	"testing"
	"time"
)

func TestWithdrawalsAreOverOnceEachManagerMadeIt(t *testing.T) {
	var orders withdrawals
	told := time.Unix(1000, 0)
	all := orders.expect("s-1", 2)
	orders.onCommand("n1", told.Add(time.Second), "withdraw", "s-1")
	orders.onCommand("n1", told.Add(2*time.Second), "withdraw", "s-1") // again, by the same manager
	orders.onCommand("n2", told.Add(time.Second), "restore", "s-1")
	orders.onCommand("n2", told.Add(time.Second), "withdraw", "s-2")
	select {
	case <-all:
		t.Fatal("over before the second manager withdrew the server")
	default:
	}
	orders.onCommand("n2", told.Add(3*time.Second), "withdraw", "s-1")
	select {
	case <-all:
	default:
		t.Fatal("not over though both withdrew it")
	}
	if times := orders.secondsSince(told); len(times) != 2 || times[0] != 1 || times[1] != 3 {
		t.Errorf("%v", times)
	}
}
