package node

import (
	"io"
	"testing"
)

// Guards against strangers in hundreds that cost a collector its place.
func TestStrangersDoNotCostACollectorItsPlace(t *testing.T) {
	_, address, inputs := listening(t, limits, true)
	c := dialled(t, address, "collector site=a\r\n"+report)
	<-inputs
	first := dialled(t, address, "")
	for range 40 {
		dialled(t, address, "")
	}
	if got := ended(first); got != "" {
		t.Errorf("the longest silent stranger: %q", got)
	}
	io.WriteString(c, report)
	<-inputs
	for range 40 {
		dialled(t, address, "collector site=a\r\n")
	}
	io.WriteString(c, report)
	<-inputs
}
