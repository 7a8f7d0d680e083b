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

// openStream opens a stream and returns a channel of its lines, which is closed when the stream ends.
func openStream(t *testing.T, address string) <-chan string {
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
	lines := make(chan string, 100)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return lines
}

// nextLine returns the next non-empty line of a stream, or an empty string if the stream has ended.
func nextLine(t *testing.T, stream <-chan string) string {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case line, open := <-stream:
			if line != "" || !open {
				return line
			}
		case <-timeout:
			t.Fatal("received no line within 5 s")
		}
	}
}

func watch(t *testing.T, d *Discovery, after int) <-chan string {
	t.Helper()
	return openStream(t, fmt.Sprintf("%s%s?%s=1&%s=%d", d.Address, discoveryPath, watchParameter, versionParameter, after))
}

func nextList(t *testing.T, stream <-chan string) (list EndpointList) {
	t.Helper()
	line := nextLine(t, stream)
	if err := json.Unmarshal([]byte(line), &list); err != nil {
		t.Fatalf("decode line %q: %v", line, err)
	}
	return list
}

func endpointIDs(list EndpointList) (ids []string) {
	for _, endpoint := range list.Endpoints {
		ids = append(ids, endpoint.ID)
	}
	return ids
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

// A watch starts with the changes after the requested version, or with the complete list if that version is too old, and
// continues with each new change.
func TestWatchResumesFromRequestedVersion(t *testing.T) {
	d := startDiscovery(t)
	d.Publish(Endpoint{ID: "c", Lifecycle: lifecycleUp})
	d.Publish(Endpoint{ID: "a", Lifecycle: lifecycleRemoved})
	for _, test := range []struct {
		after    int
		complete bool
		ids      []string
	}{
		{after: firstVersion + 2, complete: false, ids: nil},
		{after: firstVersion + 1, complete: false, ids: []string{"a"}},
		{after: firstVersion, complete: false, ids: []string{"c", "a"}},
		{after: firstVersion - 1, complete: true, ids: []string{"b", "c"}},
	} {
		stream := watch(t, d, test.after)
		list := nextList(t, stream)
		if list.Version != firstVersion+2 || list.Complete != test.complete || !slices.Equal(endpointIDs(list), test.ids) {
			t.Errorf("after version %d: list %+v, want complete %v and endpoints %q", test.after, list, test.complete, test.ids)
		}
	}
	if got := d.WatchedVersions(); len(got) != 4 || got[0] != firstVersion+2 {
		t.Errorf("watched versions %v, want 4 that start with %d", got, firstVersion+2)
	}
	stream := watch(t, d, firstVersion+2)
	nextList(t, stream)
	d.Publish(Endpoint{ID: "d", Lifecycle: lifecycleUp})
	if list := nextList(t, stream); list.Version != firstVersion+3 || list.Complete || !slices.Equal(endpointIDs(list), []string{"d"}) {
		t.Errorf("published change: list %+v, want version %d with endpoint d only", list, firstVersion+3)
	}
}

// While discovery is unresponsive, it sends no changes to watchers, but still calls OnChange for each published change.
func TestUnresponsiveDiscoverySendsNoChanges(t *testing.T) {
	d := startDiscovery(t)
	var published []string
	d.OnChange = func(_ time.Time, endpoint Endpoint) { published = append(published, endpoint.ID) }
	stream := watch(t, d, firstVersion)
	nextList(t, stream)
	d.SetUnresponsive(true)
	d.Publish(Endpoint{ID: "c", Lifecycle: lifecycleUp})
	d.SetUnresponsive(false)
	d.Publish(Endpoint{ID: "d", Lifecycle: lifecycleUp})
	if list := nextList(t, stream); !slices.Equal(endpointIDs(list), []string{"d"}) {
		t.Errorf("list %+v, want endpoint d only", list)
	}
	if !slices.Equal(published, []string{"c", "d"}) {
		t.Errorf("OnChange called for %q, want c and d", published)
	}
}

// The event stream starts with all connected proxies and continues with each event. It breaks when the relay becomes
// unavailable.
func TestEventStreamReportsConnectedProxies(t *testing.T) {
	r, err := NewRelay(anyPort, DefaultSite(1, 2))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.ConnectProxies(1, 0)
	stream := openStream(t, r.Address+eventsPath)
	want := []string{
		"event: joined", "data: id=0&site=a&rps=4&new=1",
		"event: joined", "data: id=1&site=b&rps=4&new=1",
	}
	for _, line := range want {
		if got := nextLine(t, stream); got != line {
			t.Errorf("line %q, want %q", got, line)
		}
	}
	r.DisconnectProxies(1)
	for _, line := range []string{"event: left", "data: id=1"} {
		if got := nextLine(t, stream); got != line {
			t.Errorf("line %q, want %q", got, line)
		}
	}
	r.SetUnavailable(true)
	if got := nextLine(t, stream); got != "" {
		t.Errorf("line %q after the relay became unavailable", got)
	}
	if _, err := http.Get("http://" + r.Address + eventsPath); err == nil {
		t.Error("an unavailable relay answered a request for events")
	}
}
