package store

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"go.etcd.io/bbolt"

	"tamarindshore/client/tables"
)

// writtenPages returns the pages in which two files differ: data pages, and the first two, which hold the library's
// roots.
func writtenPages(before, after []byte, pageSize int) (data, roots []int) {
	for page := 0; page*pageSize < len(after); page++ {
		from := page * pageSize
		to := min(from+pageSize, len(after))
		if to <= len(before) && bytes.Equal(before[from:to], after[from:to]) {
			continue
		}
		if page < 2 {
			roots = append(roots, page)
		} else {
			data = append(data, page)
		}
	}
	return data, roots
}

// interruptedSave is one save of which a crash leaves a part in the file.
type interruptedSave struct {
	before, after             []byte // the file
	digestBefore, digestAfter tables.Digest
	data                      []int // the data pages that were written
	root                      int   // the root that was written
}

// recordSave saves one version and records what it wrote to the file.
func recordSave(t *testing.T, s *Store, path string) interruptedSave {
	t.Helper()
	var save interruptedSave
	var err error
	if save.before, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	save.digestBefore = s.head.state.Digest()
	saveVersions(t, s, 1)
	save.digestAfter = s.head.state.Digest()
	if save.after, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	data, roots := writtenPages(save.before, save.after, os.Getpagesize())
	if len(roots) != 1 || len(data) == 0 {
		t.Fatalf("a save wrote roots %v and data pages %v", roots, data)
	}
	save.data = data
	save.root = roots[0]
	return save
}

// wholePages leaves the last of some written pages complete.
const wholePages = -1

// crash returns the file after a crash: some pages are written, of the last of them only cut bytes (unless that is
// wholePages), and rootBytes of the root.
func (s interruptedSave) crash(pages []int, cut, rootBytes int) []byte {
	pageSize := os.Getpagesize()
	file := bytes.Clone(s.before)
	if missing := len(s.after) - len(file); missing > 0 {
		file = append(file, make([]byte, missing)...)
	}
	for i, page := range pages {
		from := page * pageSize
		to := min(from+pageSize, len(s.after))
		if i == len(pages)-1 && cut != wholePages {
			to = min(from+cut, to)
		}
		copy(file[from:to], s.after[from:to])
	}
	root := s.root * pageSize
	copy(file[root:root+rootBytes], s.after[root:root+rootBytes])
	return file
}

// expectBeforeOrAfter opens the file after a crash and expects the state before or after the save, never a mix.
func (s interruptedSave) expectBeforeOrAfter(t *testing.T, pages []int, cut, rootBytes int) {
	t.Helper()
	torn := filepath.Join(t.TempDir(), "torn.db")
	if err := os.WriteFile(torn, s.crash(pages, cut, rootBytes), 0o600); err != nil {
		t.Fatal(err)
	}
	opened, contents, err := Open(torn, 5, DefaultLimits(), nil)
	if err != nil {
		t.Fatalf("pages %v cut %d root %d: %v", pages, cut, rootBytes, err)
	}
	defer opened.Close()
	digest := contents.State.Digest()
	if digest != s.digestBefore && (digest != s.digestAfter || rootBytes == 0) {
		t.Errorf("pages %v cut %d root %d: neither before nor after", pages, cut, rootBytes)
	}
	last := contents.Versions[len(contents.Versions)-1].ID.Number
	if !isListOf(contents.ServerList, last) {
		t.Errorf("pages %v cut %d root %d: version %d with the list %+v", pages, cut, rootBytes, last, contents.ServerList)
	}
	if rootBytes == os.Getpagesize() && digest != s.digestAfter {
		t.Errorf("pages %v cut %d: an acknowledged change is lost", pages, cut)
	}
}

// A crash at each write of a save: the library writes data pages in any order, syncs them, then writes one root. So a
// crash leaves any part of the data pages without the root, each cut anywhere, or all of them and a part of the root.
func TestACrashAtEachWriteLeavesTheVersionBeforeOrAfter(t *testing.T) {
	path := storePath(t)
	s, _ := openStore(t, path)
	saveVersions(t, s, 5)
	pageSize := os.Getpagesize()
	rng := rand.New(rand.NewPCG(1, 1))
	crashes := 0
	for range 12 {
		save := recordSave(t, s, path)
		for n := range len(save.data) + 1 {
			save.expectBeforeOrAfter(t, save.data[:n], wholePages, 0)
			shuffled := slices.Clone(save.data)
			rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			save.expectBeforeOrAfter(t, shuffled[:n], rng.IntN(pageSize), 0)
			crashes += 2
		}
		for _, rootBytes := range []int{16, 24, 40, 60, 72, 79, 80, pageSize} {
			save.expectBeforeOrAfter(t, save.data, wholePages, rootBytes)
			crashes++
		}
	}
	if crashes < 100 {
		t.Errorf("%d crashes, expected at least 100", crashes)
	}
}

// damagedStore is a store of 30 versions in which a bucket was changed.
func damagedStore(t *testing.T, bucket []byte, change func(*bbolt.Bucket) error) string {
	t.Helper()
	path := storePath(t)
	s, _ := openStore(t, path)
	saveVersions(t, s, 30)
	if err := s.db.Update(func(tx *bbolt.Tx) error { return change(tx.Bucket(bucket)) }); err != nil {
		t.Fatal(err)
	}
	closeStore(t, s)
	return path
}

func sealed(t *testing.T, value any) []byte {
	t.Helper()
	sealed, err := seal(value)
	if err != nil {
		t.Fatal(err)
	}
	return sealed
}

func expectOpenError(t *testing.T, path string, openFile OpenFile, want error) {
	t.Helper()
	s, _, err := Open(path, 5, DefaultLimits(), openFile)
	if s != nil {
		s.Close()
	}
	if !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
}

func TestDamagedValuesAreReported(t *testing.T) {
	firstVersion := encodeID(tables.ID{Epoch: 5, Number: 1})
	otherType := sealed(t, "text")
	otherVersion := sealed(t, Version{Ops: []tables.Op{{Kind: tables.Withdraw, Server: "x"}}})
	for _, one := range []struct {
		name   string
		bucket []byte
		key    []byte
		value  []byte
		want   error
	}{
		{"newer format", metaBucket, formatKey, encodeNumber(FormatVersion + 1), ErrNewer},
		{"short format", metaBucket, formatKey, []byte{1}, ErrDamaged},
		{"short version", versionsBucket, firstVersion, []byte("short"), ErrDamaged},
		{"version of another type", versionsBucket, firstVersion, otherType, ErrDamaged},
		{"version with a wrong digest", versionsBucket, firstVersion, otherVersion, ErrDamaged},
		{"drain of another type", drainsBucket, []byte("s-1"), otherType, ErrDamaged},
		{"command of another type", commandsBucket, []byte("k1"), otherType, ErrDamaged},
		{"server of another type", serversBucket, []byte("s-1"), otherType, ErrDamaged},
		{"list summary of another type", metaBucket, listSummaryKey, otherType, ErrDamaged},
	} {
		t.Run(one.name, func(t *testing.T) {
			path := damagedStore(t, one.bucket, func(bucket *bbolt.Bucket) error { return bucket.Put(one.key, one.value) })
			expectOpenError(t, path, nil, one.want)
		})
	}
	t.Run("no format", func(t *testing.T) {
		path := damagedStore(t, metaBucket, func(bucket *bbolt.Bucket) error { return bucket.Delete(formatKey) })
		expectOpenError(t, path, nil, ErrDamaged)
	})
}

func TestUnusableFilesAreReported(t *testing.T) {
	path := storePath(t)
	s, _ := openStore(t, path)
	t.Cleanup(func() { s.Close() })
	expectOpenError(t, path, nil, ErrLocked)
	expectOpenError(t, filepath.Join(path, "below"), nil, syscall.ENOTDIR)

	readOnlyFolder := func(name string, _ int, _ os.FileMode) (*os.File, error) {
		return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.EROFS}
	}
	expectOpenError(t, storePath(t), readOnlyFolder, syscall.EROFS)

	notAStore := storePath(t)
	if err := os.WriteFile(notAStore, bytes.Repeat([]byte("junk"), 9000), 0o600); err != nil {
		t.Fatal(err)
	}
	expectOpenError(t, notAStore, nil, ErrDamaged)
}

func TestCheckOfAMissingFileDoesNotMakeIt(t *testing.T) {
	path := storePath(t)
	if _, err := Check(path, DefaultLimits()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v", err)
	}
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the file: %v", err)
	}
}

// A full disk as far as one process can simulate it: files may not grow past a size. What was acknowledged stays, and
// the store goes on once there is room.
func TestAFullDiskFailsTheSaveAndNothingElse(t *testing.T) {
	path := storePath(t)
	s, _ := openStore(t, path)
	saveVersions(t, s, 5)
	large := nextVersion(t, s, tables.Op{Kind: tables.Withdraw, Server: "x"})
	large.Cause = strings.Repeat("x", 1<<20)
	var unlimited syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &unlimited); err != nil {
		t.Skip(err)
	}
	limited := unlimited
	limited.Cur = uint64(fileSize(t, path))
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limited); err != nil {
		t.Skip(err)
	}
	saveErr := s.Save(Change{Versions: []Version{large}})
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &unlimited); err != nil {
		t.Fatal(err)
	}
	if saveErr == nil {
		t.Fatal("saved past the end of the disk")
	}
	saveVersions(t, s, 3)
	digest := s.head.state.Digest()
	closeStore(t, s)
	contents := checkStore(t, path, DefaultLimits())
	if len(contents.Versions) != 8 || contents.State.Digest() != digest {
		t.Errorf("%d versions, state %v, want 8 and %v", len(contents.Versions), contents.State.Digest(), digest)
	}
}

// Bit rot is found or does no harm: it never gives a state or a list that was not saved.
func TestBitRotNeverPassesForAState(t *testing.T) {
	path := storePath(t)
	s, _ := openStore(t, path)
	saved := map[tables.Digest]bool{tables.EmptyState().Digest(): true}
	for range 30 {
		saveVersions(t, s, 1)
		saved[s.head.state.Digest()] = true
	}
	closeStore(t, s)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	results := map[string]int{}
	for range 1000 {
		file := bytes.Clone(original)
		file[rng.IntN(len(file))] ^= 1 << rng.IntN(8)
		if err := os.WriteFile(path, file, 0o600); err != nil {
			t.Fatal(err)
		}
		contents, err := Check(path, DefaultLimits())
		generation := contents.ServerList.Generation
		switch {
		case err == nil && !saved[contents.State.Digest()]:
			t.Fatal("a state that was never saved")
		case err == nil && generation > 0 && !isListOf(contents.ServerList, uint64(generation)):
			t.Fatalf("a list that was never saved: %+v", contents.ServerList)
		case err == nil:
			results["harmless"]++
		case errors.Is(err, ErrDamaged):
			results["damaged"]++
		default:
			results[strings.SplitN(err.Error(), ":", 2)[0]]++
		}
	}
	t.Log(results)
	if results["damaged"] < 10 {
		t.Errorf("%v", results)
	}
}
