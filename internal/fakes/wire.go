package fakes

import (
	"fmt"
	"strings"
)

// Names of the relay's protocol: paths, form fields and separators, as documented by the platform.
const (
	callPath      = "/v3/kv/"
	eventsPath    = "/v3/kv/stream"
	actionField   = "Action"
	commitAction  = "CommitChanges"
	commandsField = "orders"

	commandSeparator = ";"
	wordSeparator    = ","
	classSeparator   = "+"
	anyTable         = "*" // stands for all tables
	anyClass         = "*" // stands for all classes

	answerAccepted = `<?xml version="1.0"?><Response><items><item><taken>%d</taken></item></items></Response>`
	answerError    = `<?xml version="1.0"?><Response><error>%s</error></Response>`
	errorBusy      = "BUSY"
	errorSyntax    = "SYNTAX"
)

// Maximum number of bytes that the relay reads of a call, and maximum number of bytes of the commands in it.
const (
	maxCallBytes     = 1 << 20
	maxCommandsBytes = 60_000
)

// First words of the relay's commands.
const (
	wordSetWeight  = "share"
	wordResetTable = "clear"
	wordAssign     = "bind"
	wordWithdraw   = "withdraw"
	wordRestore    = "restore"
	wordAdmit      = "admit"
	wordBarrier    = "mark"
)

// Names of the relay's events.
const (
	eventConnected    = "joined"
	eventDisconnected = "left"
	eventApplied      = "applied"
)

// event is one event of the relay's event stream.
type event struct {
	name string
	data string
}

// connected returns the event of a proxy that has connected and has no table.
func connected(p *proxy) event {
	return event{eventConnected, fmt.Sprintf("id=%d&site=%s&rps=%g&new=1", p.id, p.zone, p.requestRate)}
}

// disconnected returns the event of a proxy that has disconnected.
func disconnected(proxy int) event {
	return event{eventDisconnected, fmt.Sprintf("id=%d", proxy)}
}

// applied returns the event of a proxy that acknowledges a barrier, with the milliseconds since the call.
func applied(proxy, barrier int, milliseconds float64) event {
	return event{eventApplied, fmt.Sprintf("id=%d&seq=%d&ms=%.1f", proxy, barrier, milliseconds)}
}

// encode returns the event in the format of the event stream.
func (e event) encode() string {
	return "event: " + e.name + "\ndata: " + e.data + "\n\n"
}

// splitClasses returns the class names in a list of classes.
func splitClasses(text string) []string { return strings.Split(text, classSeparator) }
