package node

import (
	"io"
	"testing"
)

// Guards against unidentified connections in hundreds that cost a collector its place.
func TestUnidentifiedConnectionsDoNotEvictACollector(t *testing.T) {
	_, address, inputs := startReceiver(t, testLimits, true)
	c := dialManager(t, address, "collector site=a\r\n"+usageLine)
	<-inputs
	first := dialManager(t, address, "")
	for range 40 {
		dialManager(t, address, "")
	}
	if got := readToEnd(first); got != "" {
		t.Errorf("the longest silent unidentified connection: %q", got)
	}
	io.WriteString(c, usageLine)
	<-inputs
	for range 40 {
		dialManager(t, address, "collector site=a\r\n")
	}
	io.WriteString(c, usageLine)
	<-inputs
}
