package scale

import (
	"testing"
	"time"
)

func TestWithdrawalsAreDoneOnceEachManagerWithdrew(t *testing.T) {
	var w withdrawalRecorder
	published := time.Unix(1000, 0)
	done := w.expect("s-1", 2)
	w.onCommand("n1", published.Add(time.Second), "withdraw", "s-1")
	w.onCommand("n1", published.Add(2*time.Second), "withdraw", "s-1") // a repeated command of the same manager does not count
	w.onCommand("n2", published.Add(time.Second), "restore", "s-1")
	w.onCommand("n2", published.Add(time.Second), "withdraw", "s-2")
	select {
	case <-done:
		t.Fatal("the channel is closed before the second manager withdrew the server")
	default:
	}
	w.onCommand("n2", published.Add(3*time.Second), "withdraw", "s-1")
	select {
	case <-done:
	default:
		t.Fatal("the channel is not closed after both managers withdrew the server")
	}
	if times := w.secondsSince(published); len(times) != 2 || times[0] != 1 || times[1] != 3 {
		t.Errorf("got times %v, want [1 3]", times)
	}
}
