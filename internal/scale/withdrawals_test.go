package scale

import (
	"testing"
	"time"
)

func TestWithdrawalsEndOnceEachManagerMadeThem(t *testing.T) {
	var w withdrawals
	published := time.Unix(1000, 0)
	all := w.expect("s-1", 2)
	w.onCommand("n1", published.Add(time.Second), "withdraw", "s-1")
	w.onCommand("n1", published.Add(2*time.Second), "withdraw", "s-1") // again, by the same manager
	w.onCommand("n2", published.Add(time.Second), "restore", "s-1")
	w.onCommand("n2", published.Add(time.Second), "withdraw", "s-2")
	select {
	case <-all:
		t.Fatal("over before the second manager withdrew the server")
	default:
	}
	w.onCommand("n2", published.Add(3*time.Second), "withdraw", "s-1")
	select {
	case <-all:
	default:
		t.Fatal("not over though both withdrew it")
	}
	if times := w.secondsSince(published); len(times) != 2 || times[0] != 1 || times[1] != 3 {
		t.Errorf("%v", times)
	}
}
