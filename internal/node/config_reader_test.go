package node

import (
	"errors"
	"testing"
	"time"

	"tamarindshore/internal/config"
)

// countingReader returns a configReader whose reads each send to began, and then return the next error from end.
func countingReader(retries int) (reader *configReader, began chan struct{}, end chan error) {
	began = make(chan struct{}, 8)
	end = make(chan error, 8)
	limits := config.Limits{ReloadRetries: retries, ReloadRetryInterval: time.Millisecond}
	reader = newConfigReader(func() (config.Config, error) {
		began <- struct{}{}
		return config.Config{}, <-end
	}, limits)
	return reader, began, end
}

func TestAConfigIsReadOnceMoreForSignalsDuringARead(t *testing.T) {
	reader, began, end := countingReader(0)
	for range 3 {
		reader.reload()
	}
	<-began
	for range 2 {
		end <- nil
		reader.finish((<-reader.results).err == nil)
	}
	if len(began) != 1 || reader.state != readIdle || reader.retry != nil {
		t.Errorf("%d reads after the first one, want 1; state %d, want %d", len(began), reader.state, readIdle)
	}
}

func TestAnInvalidConfigIsReadAgainAFewTimes(t *testing.T) {
	const retries = 2
	reader, began, end := countingReader(retries)
	reader.reload()
	for range retries {
		end <- errors.New("incomplete file")
		reader.finish((<-reader.results).err == nil)
		<-reader.retry
		reader.request()
	}
	end <- errors.New("incomplete file")
	reader.finish((<-reader.results).err == nil)
	if reader.retry != nil || reader.state != readIdle || len(began) != 1+retries {
		t.Errorf("%d reads, want %d; state %d, want %d", len(began), 1+retries, reader.state, readIdle)
	}
}
