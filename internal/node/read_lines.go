package node

import (
	"bytes"
	"errors"
	"io"
)

const (
	readBufferSize = 4 << 10
	maxKeptBuffer  = 64 << 10 // of the buffer of a partial line; a larger one is dropped after use
)

var errLineTooLong = errors.New("a line is too long")

// readLines cuts what is read into lines, however the network cut it; maxLength is asked for each. A partial line at the
// end is dropped with io.ErrUnexpectedEOF.
func readLines(reader io.Reader, maxLength func() int, take func(line []byte) error) error {
	var partial []byte
	buffer := make([]byte, readBufferSize)
	takeBounded := func(line []byte) error {
		if len(line) > maxLength() {
			return errLineTooLong
		}
		return take(line)
	}
	for {
		n, readErr := reader.Read(buffer)
		rest, err := cutLines(partial, buffer[:n], takeBounded)
		partial = rest
		switch {
		case err != nil:
			return err
		case len(partial) > maxLength():
			return errLineTooLong
		case readErr == io.EOF && len(partial) > 0:
			return io.ErrUnexpectedEOF
		case readErr != nil:
			return readErr
		}
	}
}

// cutLines passes on the lines of a partial line and the data behind it, each without its line end, and gives the
// partial line that is left, in the memory of the first.
func cutLines(partial, data []byte, take func(line []byte) error) (rest []byte, err error) {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return append(partial, data...), nil
		}
		line := data[:end]
		if len(partial) > 0 {
			partial = append(partial, line...)
			line = partial
		}
		if err := take(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return nil, err
		}
		data = data[end+1:]
		partial = partial[:0]
		if cap(partial) > maxKeptBuffer {
			partial = nil
		}
	}
	return partial, nil
}
