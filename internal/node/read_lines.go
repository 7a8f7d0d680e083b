package node

import (
	"bytes"
	"errors"
	"io"
)

const (
	readBufferSize    = 4 << 10
	maxRetainedBuffer = 64 << 10 // largest buffer of a partial line that is kept for reuse
)

var errLineTooLong = errors.New("line too long")

// readLines splits what it reads into lines and passes each to take, until an error or the end of the input. maxLength is
// called for each line, since the limit may change between lines. A partial line at the end is dropped and reported as
// io.ErrUnexpectedEOF.
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

// cutLines splits data, which continues the line begun in partial, into lines. It passes each complete line to take,
// without its line ending, and returns the partial line at the end, which may reuse the memory of partial.
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
		if cap(partial) > maxRetainedBuffer {
			partial = nil
		}
	}
	return partial, nil
}
