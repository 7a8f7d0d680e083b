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

// writtenPages returns the pages in which two files differ: data pages and meta pages. The first two pages of a bbolt
// file are its meta pages, which point to the root of the data.
func writtenPages(before, after []byte, pageSize int) (dataPages, metaPages []int) {
	for page := 0; page*pageSize < len(after); page++ {
		from := page * pageSize
		to := min(from+pageSize, len(after))
		if to <= len(before) && bytes.Equal(before[from:to], after[from:to]) {
			continue
		}
		if page < 2 {
			metaPages = append(metaPages, page)
		} else {
			dataPages = append(dataPages, page)
		}
	}
	return dataPages, metaPages
}

// interruptedSave is a save that a crash interrupts, so that only a part of it reaches the file.
type interruptedSave struct {
	before, after             []byte // contents of the file
	digestBefore, digestAfter tables.Digest
	dataPages                 []int // data pages that the save wrote
	metaPage                  int   // meta page that the save wrote
}

// recordSave saves one version and records which pages of the file changed.
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
	dataPages, metaPages := writtenPages(save.before, save.after, os.Getpagesize())
	if len(metaPages) != 1 || len(dataPages) == 0 {
		t.Fatalf("a save wrote meta pages %v and data pages %v, want one meta page and some data pages", metaPages, dataPages)
	}
	save.dataPages = dataPages
	save.metaPage = metaPages[0]
	return save
}

// allBytes, given as lastPageBytes, writes the last data page completely.
const allBytes = -1

// crash returns the contents of the file after a crash that left only some writes in it: the given data pages, of the
// last of them only the first lastPageBytes (or allBytes), and the first metaBytes of the meta page.
func (s interruptedSave) crash(pages []int, lastPageBytes, metaBytes int) []byte {
	pageSize := os.Getpagesize()
	file := bytes.Clone(s.before)
	if missing := len(s.after) - len(file); missing > 0 {
		file = append(file, make([]byte, missing)...)
	}
	for i, page := range pages {
		from := page * pageSize
		to := min(from+pageSize, len(s.after))
		if i == len(pages)-1 && lastPageBytes != allBytes {
			to = min(from+lastPageBytes, to)
		}
		copy(file[from:to], s.after[from:to])
	}
	metaStart := s.metaPage * pageSize
	copy(file[metaStart:metaStart+metaBytes], s.after[metaStart:metaStart+metaBytes])
	return file
}

// expectBeforeOrAfter opens the file after a crash and expects the state before or after the save, never a mix of both.
func (s interruptedSave) expectBeforeOrAfter(t *testing.T, pages []int, lastPageBytes, metaBytes int) {
	t.Helper()
	torn := filepath.Join(t.TempDir(), "torn.db")
	if err := os.WriteFile(torn, s.crash(pages, lastPageBytes, metaBytes), 0o600); err != nil {
		t.Fatal(err)
	}
	opened, contents, err := Open(torn, 5, DefaultLimits(), nil)
	if err != nil {
		t.Fatalf("data pages %v, %d bytes of the last, %d bytes of the meta page: error %v",
			pages, lastPageBytes, metaBytes, err)
	}
	defer opened.Close()
	digest := contents.State.Digest()
	if digest != s.digestBefore && (digest != s.digestAfter || metaBytes == 0) {
		t.Errorf("data pages %v, %d bytes of the last, %d bytes of the meta page: the state is neither that before nor that after the save",
			pages, lastPageBytes, metaBytes)
	}
	last := contents.Versions[len(contents.Versions)-1].ID.Number
	if !isListAtVersion(contents.ServerList, last) {
		t.Errorf("data pages %v, %d bytes of the last, %d bytes of the meta page: version %d has the server list %+v",
			pages, lastPageBytes, metaBytes, last, contents.ServerList)
	}
	if metaBytes == os.Getpagesize() && digest != s.digestAfter {
		t.Errorf("data pages %v, %d bytes of the last: an acknowledged change is lost", pages, lastPageBytes)
	}
}

// Simulates a crash at each write of a save. bbolt writes the data pages in any order, syncs them and then writes one meta
// page. A crash therefore leaves either some of the data pages, possibly with the last one torn, and no meta page, or all
// data pages and a part of the meta page.
func TestACrashAtEachWriteLeavesTheVersionBeforeOrAfter(t *testing.T) {
	path := storePath(t)
	s, _ := openStore(t, path)
	saveVersions(t, s, 5)
	pageSize := os.Getpagesize()
	rng := rand.New(rand.NewPCG(1, 1))
	crashes := 0
	for range 12 {
		save := recordSave(t, s, path)
		for n := range len(save.dataPages) + 1 {
			save.expectBeforeOrAfter(t, save.dataPages[:n], allBytes, 0)
			shuffled := slices.Clone(save.dataPages)
			rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			save.expectBeforeOrAfter(t, shuffled[:n], rng.IntN(pageSize), 0)
			crashes += 2
		}
		for _, metaBytes := range []int{16, 24, 40, 60, 72, 79, 80, pageSize} {
			save.expectBeforeOrAfter(t, save.dataPages, allBytes, metaBytes)
			crashes++
		}
	}
	if crashes < 100 {
		t.Errorf("%d crashes simulated, expected at least 100", crashes)
	}
}

// damagedStore creates a store of 30 versions, changes one of its buckets and returns its path.
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

func mustEncodeValue(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := encodeValue(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
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
	firstVersion := encodeVersionKey(tables.ID{Epoch: 5, Number: 1})
	otherType := mustEncodeValue(t, "text")
	otherVersion := mustEncodeValue(t, Version{Ops: []tables.Op{{Kind: tables.Withdraw, Server: "x"}}})
	for _, test := range []struct {
		name   string
		bucket []byte
		key    []byte
		value  []byte
		want   error
	}{
		{"newer format", metaBucket, formatKey, encodeNumber(FormatVersion + 1), ErrNewerFormat},
		{"short format", metaBucket, formatKey, []byte{1}, ErrDamaged},
		{"short version", versionsBucket, firstVersion, []byte("short"), ErrDamaged},
		{"version of another type", versionsBucket, firstVersion, otherType, ErrDamaged},
		{"version with a wrong digest", versionsBucket, firstVersion, otherVersion, ErrDamaged},
		{"drain of another type", drainsBucket, []byte("s-1"), otherType, ErrDamaged},
		{"command of another type", commandsBucket, []byte("k1"), otherType, ErrDamaged},
		{"server of another type", serversBucket, []byte("s-1"), otherType, ErrDamaged},
		{"list summary of another type", metaBucket, listSummaryKey, otherType, ErrDamaged},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := damagedStore(t, test.bucket, func(bucket *bbolt.Bucket) error { return bucket.Put(test.key, test.value) })
			expectOpenError(t, path, nil, test.want)
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

	readOnlyFileSystem := func(name string, _ int, _ os.FileMode) (*os.File, error) {
		return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.EROFS}
	}
	expectOpenError(t, storePath(t), readOnlyFileSystem, syscall.EROFS)

	notAStore := storePath(t)
	if err := os.WriteFile(notAStore, bytes.Repeat([]byte("junk"), 9000), 0o600); err != nil {
		t.Fatal(err)
	}
	expectOpenError(t, notAStore, nil, ErrDamaged)
}

func TestCheckDoesNotCreateAMissingFile(t *testing.T) {
	path := storePath(t)
	if _, err := Check(path, DefaultLimits()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v, want %v", err, fs.ErrNotExist)
	}
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Check created the file: stat returned error %v, want %v", err, fs.ErrNotExist)
	}
}

// Simulates a full disk with a limit on the size of files. The save must fail without losing acknowledged changes, and
// later saves must succeed once there is space again.
func TestFullDiskFailsOnlyTheSave(t *testing.T) {
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
		t.Fatal("the save succeeded although the file could not grow")
	}
	saveVersions(t, s, 3)
	digest := s.head.state.Digest()
	closeStore(t, s)
	contents := checkStore(t, path, DefaultLimits())
	if len(contents.Versions) != 8 || contents.State.Digest() != digest {
		t.Errorf("%d versions, state %v, want 8 and %v", len(contents.Versions), contents.State.Digest(), digest)
	}
}

// A flipped bit in the file must either be reported or be harmless: Check must never return a state or a server list that
// was not saved.
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
			t.Fatalf("Check returned a state that was never saved, with digest %v", contents.State.Digest())
		case err == nil && generation > 0 && !isListAtVersion(contents.ServerList, uint64(generation)):
			t.Fatalf("Check returned a server list that was never saved: %+v", contents.ServerList)
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
		t.Errorf("fewer than 10 flipped bits were reported as damage: %v", results)
	}
}
