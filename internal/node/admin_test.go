package node

import (
	"errors"
	"strings"
	"testing"

	"tamarindshore/client/tables"
	"tamarindshore/internal/versions"
)

func TestParseVersionIDRejectsMalformedText(t *testing.T) {
	for text, want := range map[string]tables.ID{"": {}, "7.1": {Epoch: 7, Number: 1}, "18446744073709551615.0": {Epoch: 1<<64 - 1}} {
		if got, err := parseVersionID(text); err != nil || got != want {
			t.Errorf("%q: got %v, %v, want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"7", ".", "7.", ".1", "-7.1", "7.1.2", "x.1", "7.x", "18446744073709551616.1", " 7.1"} {
		got, err := parseVersionID(text)
		if !errors.Is(err, errInvalidVersion) || !strings.Contains(err.Error(), text) || got != (tables.ID{}) {
			t.Errorf("%q: got %v, %v, want the zero ID and an error that quotes the text", text, got, err)
		}
	}
}

func TestInvalidAdminCommandsAreRejected(t *testing.T) {
	r := testRouter(t)
	r.chain = versions.New(versions.DefaultSettings(1))
	for _, command := range []AdminCommand{"", "LOG", "rollback now", "drop"} {
		_, err := r.executeAdmin(adminCall{AdminRequest: AdminRequest{Command: command}})
		if !errors.Is(err, errUnknownAdminCommand) || !strings.Contains(err.Error(), string(command)) {
			t.Errorf("%q: got %v, want an error that quotes the command", command, err)
		}
	}
	for _, command := range []AdminCommand{AdminShow, AdminDiff, AdminRollback} {
		call := adminCall{AdminRequest: AdminRequest{Command: command, Key: "k"}, version: tables.ID{Epoch: 1, Number: 9}}
		if lines, err := r.executeAdmin(call); err == nil || !strings.Contains(err.Error(), "no version was sent yet") {
			t.Errorf("%s before the first version: got %q, %v, want an error", command, lines, err)
		}
	}
}
