package node

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

func TestProxyEventsAreReadInOrder(t *testing.T) {
	address, requestLines := startStreamServer(t, "event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n:\n"+
		"event: applied\r\ndata: id=17&seq=905&ms=310.4\r\n\r\nevent: other\ndata: x\n\nevent: left\ndata: id=17\n\nevent: left\nda")
	receiver, inputs := testReceiverWithInputs(t, testLimits, 64)
	opened, err := receiver.readProxyEvents(testUpstream(t, address))
	if got := <-requestLines; got != "GET /v3/kv/stream HTTP/1.1" || !opened || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("request %q, opened %v, error %v; want GET /v3/kv/stream, opened, unexpected EOF", got, opened, err)
	}
	want := fmt.Sprint([]input{proxyEventsOpened{}, proxyConnected{17, "a", 21.5}, proxySnapshotComplete{},
		barrierAck{17, 905}, proxyDisconnected{17}})
	if got := fmt.Sprint(receivedInputs(inputs)); got != want {
		t.Errorf("got inputs %s, want %s", got, want)
	}
}

func TestASilentOrMalformedProxyEventStreamEnds(t *testing.T) {
	for text, want := range map[string]string{
		"event: joined\ndata: id=17&site=a&rps=21.5&new=1\n\n...":      "timeout",
		"event: applied\ndata: id=x\n\nevent: left\ndata: id=x\n\n...": "id: ",
		"\x00\xff\xfe\n...":                             "unexpected line",
		"event: \x01left\ndata: id=17\n\n...":           "unexpected line",
		strings.Repeat("data: x", 1000) + "...":         errLineTooLong.Error(),
		strings.Repeat("data: xxxxxxx\n", 1000) + "...": errLineTooLong.Error(),
	} {
		limits := testLimits
		if want == "timeout" {
			limits.ProxyWatchIdleTimeout = 200 * time.Millisecond
		}
		address, _ := startStreamServer(t, text)
		if _, err := testReceiver(t, limits).readProxyEvents(testUpstream(t, address)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: got error %v, want one with %q", text, err, want)
		}
	}
}
