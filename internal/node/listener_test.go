package node

import (
	"io"
	"testing"
)

// Many connections that send nothing, or only a zone's name, must not evict a collector that reports.
func TestUnidentifiedConnectionsDoNotEvictACollector(t *testing.T) {
	_, address, inputs := startReceiver(t, testLimits, true)
	c := dialManager(t, address, "collector site=a\r\n"+usageLine)
	<-inputs
	first := dialManager(t, address, "")
	for range 40 {
		dialManager(t, address, "")
	}
	if got := readToEnd(first); got != "" {
		t.Errorf("the oldest unidentified connection received %q, expected only a close", got)
	}
	io.WriteString(c, usageLine)
	<-inputs
	for range 40 {
		dialManager(t, address, "collector site=a\r\n")
	}
	io.WriteString(c, usageLine)
	<-inputs
}
