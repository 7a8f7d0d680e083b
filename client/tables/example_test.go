package tables_test

import (
	"bytes"
	"fmt"
	"time"

	"tamarindshore/client/tables"
)

// A manager encodes a snapshot and then a delta. A replica applies both, ignores a repeated delta and rejects bytes that are
// not a delta.
func ExampleReplica() {
	key, err := tables.NewKey(bytes.Repeat([]byte{7}, 32))
	if err != nil {
		fmt.Println(err)
		return
	}
	keys := tables.Keys{key}
	empty := tables.EmptyState()
	first, _ := empty.Apply([]tables.Op{{Kind: tables.SetWeight, Table: 1, Server: "s-1", Weight: 100}})
	second, _ := first.Apply([]tables.Op{{Kind: tables.SetWeight, Table: 1, Server: "s-2", Weight: 50}})
	snapshot := tables.Delta{
		ID:         tables.ID{Epoch: 1, Number: 1},
		BaseDigest: empty.Digest(),
		Digest:     first.Digest(),
		Ops:        tables.Diff(empty, first),
	}
	delta := tables.Delta{
		ID:         tables.ID{Epoch: 1, Number: 2},
		Base:       snapshot.ID,
		BaseDigest: first.Digest(),
		Digest:     second.Digest(),
		Ops:        tables.Diff(first, second),
	}

	retries := tables.RetrySettings{InitialInterval: time.Second, MaxInterval: time.Minute}
	replica := tables.NewReplica(keys, retries, 1)
	for _, sent := range []tables.Delta{snapshot, delta, delta} {
		encoded, err := sent.Encode(keys)
		if err != nil {
			fmt.Println(err)
			return
		}
		outcome, _ := replica.Receive(0, encoded)
		fmt.Println(sent.ID, outcome, replica.State().Table(1).Weights)
	}
	outcome, err := replica.Receive(0, []byte("not a delta"))
	fmt.Println(outcome, err, replica.Version().ID)

	// Output:
	// 1.1 applied map[s-1:100]
	// 1.2 applied map[s-1:100 s-2:50]
	// 1.2 already applied map[s-1:100 s-2:50]
	// malformed malformed: not a delta: 11 bytes, expected 111 to 16777216 bytes that start with "TSD1" 1.2
}
