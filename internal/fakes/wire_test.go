package fakes

import (
	"reflect"
	"testing"
)

// Valid commands must be parsed into their fields, and malformed ones rejected.
func TestCommandWireFormat(t *testing.T) {
	for text, want := range map[string]command{
		"share,3,s-1,0.5":      setWeight{3, "s-1", 0.5},
		"share,0,s-1,0":        setWeight{0, "s-1", 0},
		"clear,3":              resetTable{3},
		"bind,17,4,*":          assignTable{17, 4},
		"bind,17,4,quote":      assignTable{17, 4},
		"withdraw,s-1":         withdrawServer{server: "s-1"},
		"restore,s-1":          withdrawServer{server: "s-1", restore: true},
		"admit,3,a+b,0.75,1":   setAdmission{table: 3, classes: "a+b", level: admissionLevel{0.75, 1}},
		"admit,*,*,1,0":        setAdmission{anyTable: true, classes: "*", level: admissionLevel{1, 0}},
		"mark,12,0":            setBarrier{number: 12},
		"mark,12,1":            setBarrier{number: 12, allProxies: true},
		"":                     nil,
		"sing":                 nil,
		"share":                nil,
		"share,3,s-1":          nil,
		"share,3,s-1,0.5,1":    nil,
		"share,x,s-1,0.5":      nil,
		"share,-1,s-1,0.5":     nil,
		"share,3,s-1,-0.5":     nil,
		"share,3,s-1,NaN":      nil,
		"share,3,s-1,":         nil,
		"clear,":               nil,
		"clear,1.5":            nil,
		"bind,-1,4,*":          nil,
		"bind,17,,*":           nil,
		"withdraw":             nil,
		"restore,s-1,1":        nil,
		"admit,-3,quote,1,1":   nil,
		"admit,3,quote,-1,1":   nil,
		"admit,3,quote,1,-1":   nil,
		"admit,3,quote,1,half": nil,
		"mark,-1,0":            nil,
		"mark,,1":              nil,
	} {
		got, ok := parseCommand(text)
		switch {
		case want == nil && ok:
			t.Errorf("%q is parsed as %#v, want it rejected", text, got)
		case want != nil && (!ok || !reflect.DeepEqual(got, want)):
			t.Errorf("%q is parsed as %#v (ok: %v), want %#v", text, got, ok, want)
		}
	}
}

// The encoding of events is part of the relay's protocol and must not change.
func TestEventWireFormat(t *testing.T) {
	for want, e := range map[string]event{
		"event: joined\ndata: id=41&site=a&rps=6.5&new=1\n\n": connected(&proxy{id: 41, zone: "a", requestRate: 6.5}),
		"event: left\ndata: id=41\n\n":                        disconnected(41),
		"event: applied\ndata: id=41&seq=12&ms=412.5\n\n":     applied(41, 12, 412.5),
	} {
		if got := e.encode(); got != want {
			t.Errorf("encoded event %q, want %q", got, want)
		}
	}
}
