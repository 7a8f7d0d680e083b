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

// After this process was stalled beyond a deadline, data that a healthy peer sent in time is still in the kernel's buffer.
// It must be read once before the connection times out.
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
		t.Errorf("read %d bytes, error %v, want 1 byte", n, err)
	}
	c.grace = time.Millisecond
	if _, err := c.Read(make([]byte, 9)); !errors.Is(err, os.ErrDeadlineExceeded) || !errors.Is(c.readErr, err) {
		t.Errorf("second read after the deadline: error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

func TestReadLinesLosesNoDataBetweenReads(t *testing.T) {
	text := strings.Repeat("abc\r\n\n", 3000)
	got := 0
	err := readLines(strings.NewReader(text), func() int { return 4 }, func(line []byte) error {
		if s := string(line); s != "abc" && s != "" {
			t.Fatalf("line %q, want \"abc\" or an empty line", s)
		}
		got++
		return nil
	})
	if got != 6000 || err != io.EOF {
		t.Errorf("%d lines, error %v, want 6000 lines and %v", got, err, io.EOF)
	}
	if err := readLines(strings.NewReader("abcde\n"), func() int { return 4 }, nil); err != errLineTooLong {
		t.Errorf("error %v, want %v", err, errLineTooLong)
	}
}
