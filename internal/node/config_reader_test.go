package node

import (
	"errors"
	"testing"
	"time"

	"tamarindshore/internal/config"
)

// countingReader is a configReader whose reads are counted, and end once the test lets them.
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
		t.Errorf("%d more reads, state %d", len(began), reader.state)
	}
}

func TestAnInvalidConfigIsReadAgainAFewTimes(t *testing.T) {
	const retries = 2
	reader, began, end := countingReader(retries)
	reader.reload()
	for range retries {
		end <- errors.New("half a file")
		reader.finish((<-reader.results).err == nil)
		<-reader.retry
		reader.request()
	}
	end <- errors.New("half a file")
	reader.finish((<-reader.results).err == nil)
	if reader.retry != nil || reader.state != readIdle || len(began) != 1+retries {
		t.Errorf("%d reads, state %d", len(began), reader.state)
	}
}
