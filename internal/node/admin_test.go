package node

import (
	"errors"
	"strings"
	"testing"

	"tamarindshore/client/tables"
	"tamarindshore/internal/versions"
)

func TestParseVersionIDNamesWhatIsWrong(t *testing.T) {
	for text, want := range map[string]tables.ID{"": {}, "7.1": {Epoch: 7, Number: 1}, "18446744073709551615.0": {Epoch: 1<<64 - 1}} {
		if got, err := parseVersionID(text); err != nil || got != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"7", ".", "7.", ".1", "-7.1", "7.1.2", "x.1", "7.x", "18446744073709551616.1", " 7.1"} {
		got, err := parseVersionID(text)
		if !errors.Is(err, errInvalidVersion) || !strings.Contains(err.Error(), text) || got != (tables.ID{}) {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
}

func TestAdminCommandsNameWhatIsWrong(t *testing.T) {
	r := testRouter(t)
	r.chain = versions.New(versions.DefaultSettings(1))
	for _, command := range []AdminCommand{"", "LOG", "rollback now", "drop"} {
		_, err := r.executeAdmin(adminCall{AdminRequest: AdminRequest{Command: command}})
		if !errors.Is(err, errUnknownAdminCommand) || !strings.Contains(err.Error(), string(command)) {
			t.Errorf("%q: %v", command, err)
		}
	}
	for _, command := range []AdminCommand{AdminShow, AdminDiff, AdminRollback} {
		early := adminCall{AdminRequest: AdminRequest{Command: command, Key: "k"}, version: tables.ID{Epoch: 1, Number: 9}}
		if lines, err := r.executeAdmin(early); err == nil || !strings.Contains(err.Error(), "no version was sent yet") {
			t.Errorf("%s before the first version: %q, %v", command, lines, err)
		}
	}
}
