package fakes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// lines opens a stream and hands over its lines; the channel is closed where the stream ends.
func lines(t *testing.T, address string) <-chan string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	read := make(chan string, 100)
	go func() {
		defer close(read)
		for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
			read <- scanner.Text()
		}
	}()
	return read
}

// next is the next line of a stream that is not empty.
func next(t *testing.T, stream <-chan string) string {
	t.Helper()
	late := time.After(5 * time.Second)
	for {
		select {
		case line, open := <-stream:
			if line != "" || !open {
				return line
			}
		case <-late:
			t.Fatal("no line within 5 s")
		}
	}
}

func watch(t *testing.T, d *Discovery, after int) <-chan string {
	t.Helper()
	return lines(t, fmt.Sprintf("%s%s?%s=1&%s=%d", d.Address, discoveryHosts, watchParameter, versionParameter, after))
}

func nextList(t *testing.T, stream <-chan string) (list EndpointList) {
	t.Helper()
	line := next(t, stream)
	if err := json.Unmarshal([]byte(line), &list); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	return list
}

func ids(list EndpointList) (names []string) {
	for _, endpoint := range list.Endpoints {
		names = append(names, endpoint.ID)
	}
	return names
}

func startDiscovery(t *testing.T) *Discovery {
	t.Helper()
	d, err := NewDiscovery(anyPort, []Endpoint{{ID: "a", Lifecycle: lifecycleUp}, {ID: "b", Lifecycle: lifecycleUp}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// A watch begins with what changed after the version held, or with the complete list, and goes on with each change.
func TestAWatchResumesFromTheVersionHeld(t *testing.T) {
	d := startDiscovery(t)
	d.Publish(Endpoint{ID: "c", Lifecycle: lifecycleUp})
	d.Publish(Endpoint{ID: "a", Lifecycle: lifecycleRemoved})
	for _, one := range []struct {
		after    int
		complete bool
		ids      []string
	}{
		{after: firstVersion + 2, complete: false, ids: nil},
		{after: firstVersion + 1, complete: false, ids: []string{"a"}},
		{after: firstVersion, complete: false, ids: []string{"c", "a"}},
		{after: firstVersion - 1, complete: true, ids: []string{"b", "c"}},
	} {
		stream := watch(t, d, one.after)
		list := nextList(t, stream)
		if list.Version != firstVersion+2 || list.Complete != one.complete || !slices.Equal(ids(list), one.ids) {
			t.Errorf("after %d: %+v", one.after, list)
		}
	}
	if got := d.WatchedVersions(); len(got) != 4 || got[0] != firstVersion+2 {
		t.Errorf("watched from %v", got)
	}
	stream := watch(t, d, firstVersion+2)
	nextList(t, stream)
	d.Publish(Endpoint{ID: "d", Lifecycle: lifecycleUp})
	if list := nextList(t, stream); list.Version != firstVersion+3 || list.Complete || !slices.Equal(ids(list), []string{"d"}) {
		t.Errorf("change: %+v", list)
	}
}

// Each published change is told, also while discovery is unresponsive to its watchers.
func TestAnUnresponsiveDiscoveryTellsItsWatchersNothing(t *testing.T) {
	d := startDiscovery(t)
	var told []string
	d.OnChange = func(_ time.Time, endpoint Endpoint) { told = append(told, endpoint.ID) }
	stream := watch(t, d, firstVersion)
	nextList(t, stream)
	d.SetUnresponsive(true)
	d.Publish(Endpoint{ID: "c", Lifecycle: lifecycleUp})
	d.SetUnresponsive(false)
	d.Publish(Endpoint{ID: "d", Lifecycle: lifecycleUp})
	if list := nextList(t, stream); !slices.Equal(ids(list), []string{"d"}) {
		t.Errorf("%+v", list)
	}
	if !slices.Equal(told, []string{"c", "d"}) {
		t.Errorf("told %v", told)
	}
}

// The relay's stream opens with all connected proxies, then has each event; it breaks while the relay is unavailable.
func TestEventsOfTheRelayFollowItsProxies(t *testing.T) {
	r, err := NewRelay(anyPort, DefaultSite(1, 2))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.ConnectProxies(1, 0)
	stream := lines(t, r.Address+eventsPath)
	want := []string{
		"event: joined", "data: id=0&site=a&rps=4&new=1",
		"event: joined", "data: id=1&site=b&rps=4&new=1",
	}
	for _, line := range want {
		if got := next(t, stream); got != line {
			t.Errorf("%q, want %q", got, line)
		}
	}
	r.DisconnectProxies(1)
	for _, line := range []string{"event: left", "data: id=1"} {
		if got := next(t, stream); got != line {
			t.Errorf("%q, want %q", got, line)
		}
	}
	r.SetUnavailable(true)
	if got := next(t, stream); got != "" {
		t.Errorf("%q after the relay became unavailable", got)
	}
	if _, err := http.Get("http://" + r.Address + eventsPath); err == nil {
		t.Error("an unavailable relay answers")
	}
}
