package store

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"tamarindshore/client/tables"
)

var at = time.Unix(1_790_000_000, 0).UTC()

// grow saves n versions from the state that a store holds, one a change, with a drain and a command now and then.
func grow(t testing.TB, s *Store, n int) {
	t.Helper()
	for i := range n {
		v := Version{ID: tables.ID{Epoch: s.epoch, Number: s.last.Number + 1}, Parent: s.state.Digest(), CreatedAt: at, Cause: "list",
			Ops: []tables.Op{{Kind: tables.SetWeight, Table: uint32(i % 3), Server: fmt.Sprint("s-", i%7), Weight: float64(s.last.Number + 1)}}}
		next, err := s.state.Apply(v.Ops)
		if err != nil {
			t.Fatal(err)
		}
		v.Digest = next.Digest()
		c := Change{Versions: []Version{v}, ServerList: listOf(v.ID.Number)}
		if i%3 == 0 {
			c.Drains = map[string]time.Time{fmt.Sprint("s-", i): at}
			c.CompletedCommands = []CompletedCommand{{Key: fmt.Sprint("k", v.ID.Number), Command: "hold", CompletedAt: at, Head: v.ID}}
		}
		if err := s.Save(c); err != nil {
			t.Fatal(err)
		}
	}
}

func opened(t testing.TB, path string) (*Store, Contents) {
	t.Helper()
	s, kept, err := Open(path, 5, DefaultLimits(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s, kept
}

func TestWhatWasSavedIsThereAgainUnderALaterEpoch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deep", "s.db")
	s, kept := opened(t, path)
	if len(kept.Versions) != 0 || s.Epoch() != 5 {
		t.Fatalf("%+v", kept)
	}
	grow(t, s, 10)
	state := s.state.Digest()
	s.Close()
	s, kept = opened(t, path)
	defer s.Close()
	if len(kept.Versions) != 10 || kept.State.Digest() != state || s.Epoch() != 6 || len(kept.CompletedCommands) != 4 || len(kept.Drains) != 1 {
		t.Errorf("%d versions, epoch %d, %v, %v", len(kept.Versions), s.Epoch(), kept.CompletedCommands, kept.Drains)
	}
}

func TestAVersionThatDoesNotLeadToItsStateIsNotSaved(t *testing.T) {
	s, _ := opened(t, filepath.Join(t.TempDir(), "s.db"))
	defer s.Close()
	grow(t, s, 1)
	before := s.state.Digest()
	err := s.Save(Change{Versions: []Version{{ID: tables.ID{Epoch: 5, Number: 2}, Ops: []tables.Op{{Kind: tables.Withdraw, Server: "x"}}}},
		CompletedCommands: []CompletedCommand{{Key: "k"}}})
	if err == nil || s.state.Digest() != before {
		t.Error("saved")
	}
	if kept, err := s.load(); err != nil || len(kept.Versions) != 1 || slices.ContainsFunc(kept.CompletedCommands, func(d CompletedCommand) bool { return d.Key == "k" }) {
		t.Errorf("half a change was saved: %+v %v", kept.CompletedCommands, err)
	}
}

func TestRetentionKeepsTheNewestAndTheirState(t *testing.T) {
	path, l := filepath.Join(t.TempDir(), "s.db"), DefaultLimits()
	l.MaxVersions = 40
	s, _, err := Open(path, 5, l, nil)
	if err != nil {
		t.Fatal(err)
	}
	grow(t, s, 200)
	state := s.state.Digest()
	s.Close()
	kept, err := Check(path, l)
	if err != nil || len(kept.Versions) > 45 || len(kept.Versions) < 40 || kept.State.Digest() != state || !kept.Versions[0].Snapshot {
		t.Errorf("%v: %d versions", err, len(kept.Versions))
	}
}

// pagesOf are the pages in which two files differ, the first two (where the library's roots stand) apart.
func pagesOf(a, b []byte, size int) (data, roots []int) {
	for p := 0; p*size < len(b); p++ {
		from, to := p*size, min((p+1)*size, len(b))
		if to <= len(a) && bytes.Equal(a[from:to], b[from:to]) {
			continue
		}
		if p < 2 {
			roots = append(roots, p)
		} else {
			data = append(data, p)
		}
	}
	return data, roots
}

// A crash at each write of a save: the library writes data pages in any order, makes them last, then writes one root.
// So a crash leaves any part of the data pages without the root, each cut anywhere, or all of them and a part of the
// root. Each such file must open as the state before or after, never as a mix.
func TestACrashAtEachWriteLeavesTheVersionBeforeOrAfter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, _ := opened(t, path)
	grow(t, s, 5)
	size, chance := os.Getpagesize(), rand.New(rand.NewPCG(1, 1))
	tried := 0
	for range 12 {
		before, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		was := s.state.Digest()
		grow(t, s, 1)
		is := s.state.Digest()
		after, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		data, roots := pagesOf(before, after, size)
		if len(roots) != 1 || len(data) == 0 {
			t.Fatalf("a save wrote roots %v and pages %v", roots, data)
		}
		crash := func(pages []int, cut int, root int) {
			file := bytes.Clone(before)
			if len(file) < len(after) {
				file = append(file, make([]byte, len(after)-len(file))...)
			}
			for i, p := range pages {
				to := min((p+1)*size, len(after))
				if i == len(pages)-1 && cut >= 0 {
					to = min(p*size+cut, to)
				}
				copy(file[p*size:to], after[p*size:to])
			}
			copy(file[roots[0]*size:roots[0]*size+root], after[roots[0]*size:roots[0]*size+root])
			torn := filepath.Join(t.TempDir(), "torn.db")
			if err := os.WriteFile(torn, file, 0o600); err != nil {
				t.Fatal(err)
			}
			tried++
			got, kept, err := Open(torn, 5, DefaultLimits(), nil)
			if err != nil {
				t.Fatalf("pages %v cut %d root %d: %v", pages, cut, root, err)
			}
			defer got.Close()
			if d := kept.State.Digest(); d != was && (d != is || root == 0) {
				t.Errorf("pages %v cut %d root %d: neither before nor after", pages, cut, root)
			}
			if last := kept.Versions[len(kept.Versions)-1].ID.Number; !isListOf(kept.ServerList, last) {
				t.Errorf("pages %v cut %d root %d: version %d beside the list %+v", pages, cut, root, last, kept.ServerList)
			}
			if root == size && kept.State.Digest() != is {
				t.Error("what was acknowledged is gone")
			}
		}
		for n := range len(data) + 1 {
			crash(data[:n], -1, 0)
			some := slices.Clone(data)
			chance.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
			crash(some[:n], chance.IntN(size), 0)
		}
		for _, cut := range []int{16, 24, 40, 60, 72, 79, 80, size} {
			crash(data, -1, cut)
		}
	}
	if tried < 100 {
		t.Errorf("%d crashes only", tried)
	}
}

func TestEachFaultOfTheFileHasItsOutcome(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.db")
	s, _ := opened(t, path)
	grow(t, s, 30)
	if _, _, err := Open(path, 5, DefaultLimits(), nil); !errors.Is(err, ErrLocked) {
		t.Errorf("a lock: %v", err)
	}
	s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(meta).Put([]byte("form"), number(FormatVersion+1)) })
	s.Close()
	if _, _, err := Open(path, 5, DefaultLimits(), nil); !errors.Is(err, ErrNewer) {
		t.Errorf("a newer release: %v", err)
	}
	if _, _, err := Open(filepath.Join(path, "below"), 5, DefaultLimits(), nil); err == nil {
		t.Error("a folder that can't be: opened")
	}
	readOnly := func(name string, _ int, mode os.FileMode) (*os.File, error) {
		return nil, &os.PathError{Op: "open", Path: name, Err: syscall.EROFS}
	}
	if _, _, err := Open(filepath.Join(dir, "new.db"), 5, DefaultLimits(), readOnly); !errors.Is(err, syscall.EROFS) {
		t.Errorf("a read-only folder: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "junk.db"), bytes.Repeat([]byte("junk"), 9000), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(filepath.Join(dir, "junk.db"), 5, DefaultLimits(), nil); !errors.Is(err, ErrDamaged) {
		t.Errorf("junk: %v", err)
	}
}

// A disk without room, as far as one process can have it: files may not grow past a size. What was acknowledged stays,
// and once there is room the store goes on.
func TestAFullDiskFailsTheSaveAndNothingElse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, _ := opened(t, path)
	grow(t, s, 5)
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &was); err != nil {
		t.Skip(err)
	}
	info, _ := os.Stat(path)
	full := was
	full.Cur = uint64(info.Size())
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &full); err != nil {
		t.Skip(err)
	}
	large := Version{ID: tables.ID{Epoch: 5, Number: 6}, Cause: strings.Repeat("x", 1<<20), Ops: []tables.Op{{Kind: tables.Withdraw, Server: "x"}}}
	next, _ := s.state.Apply(large.Ops)
	large.Digest = next.Digest()
	err := s.Save(Change{Versions: []Version{large}})
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &was)
	if err == nil {
		t.Fatal("saved past the end of the disk")
	}
	grow(t, s, 3)
	state := s.state.Digest()
	s.Close()
	if kept, err := Check(path, DefaultLimits()); err != nil || len(kept.Versions) != 8 || kept.State.Digest() != state {
		t.Errorf("%v: %d versions", err, len(kept.Versions))
	}
}

// Bit rot is found or does no harm: it never gives another state than one that was saved.
func TestBitRotNeverPassesForAState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, _ := opened(t, path)
	good := map[tables.Digest]bool{tables.EmptyState().Digest(): true}
	for range 30 {
		grow(t, s, 1)
		good[s.state.Digest()] = true
	}
	s.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	chance, found := rand.New(rand.NewPCG(3, 3)), map[string]int{}
	for range 1000 {
		file := bytes.Clone(whole)
		file[chance.IntN(len(file))] ^= 1 << chance.IntN(8)
		if err := os.WriteFile(path, file, 0o600); err != nil {
			t.Fatal(err)
		}
		kept, err := Check(path, DefaultLimits())
		switch {
		case err == nil && !good[kept.State.Digest()]:
			t.Fatal("a state that never was")
		case err == nil && kept.ServerList.Generation > 0 && !isListOf(kept.ServerList, uint64(kept.ServerList.Generation)):
			t.Fatalf("a list that never was: %+v", kept.ServerList)
		case err == nil:
			found["harmless"]++
		case errors.Is(err, ErrDamaged):
			found["damaged"]++
		default:
			found[strings.SplitN(err.Error(), ":", 2)[0]]++
		}
	}
	t.Log(found)
	if found["damaged"] < 10 {
		t.Errorf("%v", found)
	}
}

func TestCompactingKeepsAllAndShrinks(t *testing.T) {
	path, l := filepath.Join(t.TempDir(), "s.db"), DefaultLimits()
	l.MaxVersions = 20
	s, _, err := Open(path, 5, l, nil)
	if err != nil {
		t.Fatal(err)
	}
	grow(t, s, 300)
	state := s.state.Digest()
	s.Close()
	before, _ := os.Stat(path)
	if err := Compact(path, l); err != nil {
		t.Fatal(err)
	}
	after, _ := os.Stat(path)
	kept, err := Check(path, l)
	if err != nil || kept.State.Digest() != state || after.Size() > before.Size() {
		t.Errorf("%v: %d bytes after %d", err, after.Size(), before.Size())
	}
	if !maps.Equal(kept.Drains, map[string]time.Time{"s-297": at}) {
		t.Errorf("%v", kept.Drains)
	}
}

func BenchmarkSave(b *testing.B) {
	s, _ := opened(b, filepath.Join(b.TempDir(), "s.db"))
	defer s.Close()
	for b.Loop() {
		grow(b, s, 1)
	}
}

func BenchmarkRecovery(b *testing.B) {
	l := DefaultLimits()
	l.MaxVersions = 20_000
	path := filepath.Join(b.TempDir(), "s.db")
	s, _, err := Open(path, 5, l, nil)
	if err != nil {
		b.Fatal(err)
	}
	s.db.NoSync = true
	grow(b, s, 10_000)
	s.Close()
	info, _ := os.Stat(path)
	b.ReportMetric(float64(info.Size())/1e6, "MB")
	for b.Loop() {
		if kept, err := Check(path, l); err != nil || len(kept.Versions) != 10_000 {
			b.Fatal(err)
		}
	}
}
