package fakes

import (
	"fmt"
	"strings"
)

// Names of the relay's protocol: paths, form fields and words as the platform's pages give them.
const (
	callPath      = "/v3/kv/"
	eventsPath    = "/v3/kv/stream"
	actionField   = "Action"
	commitAction  = "CommitChanges"
	commandsField = "orders"

	commandSeparator = ";"
	wordSeparator    = ","
	classSeparator   = "+"
	anyTable         = "*" // in place of a table's number
	anyClass         = "*" // in place of a class's name

	answerAccepted = `<?xml version="1.0"?><Response><items><item><taken>%d</taken></item></items></Response>`
	answerError    = `<?xml version="1.0"?><Response><error>%s</error></Response>`
	errorBusy      = "BUSY"
	errorSyntax    = "SYNTAX"
)

// Largest call that the relay reads, and most bytes of commands in one.
const (
	maxCallBytes     = 1 << 20
	maxCommandsBytes = 60_000
)

// Words of the relay's commands.
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

// event is one event of the relay's stream.
type event struct {
	name string
	data string
}

// connected is the event of a proxy that is connected and on no table.
func connected(p *proxy) event {
	return event{eventConnected, fmt.Sprintf("id=%d&site=%s&rps=%g&new=1", p.id, p.zone, p.requestRate)}
}

// disconnected is the event of a proxy that left.
func disconnected(proxy int) event {
	return event{eventDisconnected, fmt.Sprintf("id=%d", proxy)}
}

// applied is the event of a proxy that acknowledges a barrier, some milliseconds after the call.
func applied(proxy, barrier int, milliseconds float64) event {
	return event{eventApplied, fmt.Sprintf("id=%d&seq=%d&ms=%.1f", proxy, barrier, milliseconds)}
}

// encode is the event as it stands in the stream.
func (e event) encode() string {
	return "event: " + e.name + "\ndata: " + e.data + "\n\n"
}

// splitClasses gives the names in a list of classes.
func splitClasses(text string) []string { return strings.Split(text, classSeparator) }
