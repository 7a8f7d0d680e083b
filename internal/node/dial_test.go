package node

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against sound peers that are dropped after this process stood still.
func TestReadsBufferedDataOnceAfterTheDeadline(t *testing.T) {
	sent := make(chan struct{})
	address := startServer(t, func(c net.Conn) {
		io.WriteString(c, "x")
		close(sent)
		io.ReadAll(c)
	})
	c, err := dial(t.Context(), testLimits, address, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.grace = time.Minute
	<-sent
	if n, err := c.Read(make([]byte, 9)); n != 1 || err != nil {
		t.Errorf("%d %v", n, err)
	}
	c.grace = time.Millisecond
	if _, err := c.Read(make([]byte, 9)); !errors.Is(err, os.ErrDeadlineExceeded) || !errors.Is(c.readErr, err) {
		t.Errorf("a second look: %v", err)
	}
}

func TestLinesDropsNothingBetweenPieces(t *testing.T) {
	text := strings.Repeat("abc\r\n\n", 3000)
	got := 0
	err := readLines(strings.NewReader(text), func() int { return 4 }, func(line []byte) error {
		if s := string(line); s != "abc" && s != "" {
			t.Fatalf("%q", s)
		}
		got++
		return nil
	})
	if got != 6000 || err != io.EOF {
		t.Errorf("%d lines, %v", got, err)
	}
	if err := readLines(strings.NewReader("abcde\n"), func() int { return 4 }, nil); err != errLineTooLong {
		t.Error(err)
	}
}
