package store

import (
	"bufio"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// TestMain runs the tests, or, in a child process that a test has started, the child's part: one child writes until it is
// killed, the other until its disk is full.
func TestMain(m *testing.M) {
	switch path := os.Getenv("STORE_CHILD_PATH"); os.Getenv("STORE_CHILD") {
	case "":
		os.Exit(m.Run())
	case "write":
		writeUntilKilled(path)
	case "full":
		writeUntilDiskIsFull(path)
	}
}

// startChild runs this test program as a child process, which is killed at the end of the test.
func startChild(t *testing.T, mode, path string) (*exec.Cmd, *bufio.Scanner) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), "STORE_CHILD="+mode, "STORE_CHILD_PATH="+path)
	output, err := child.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start())
	t.Cleanup(func() {
		_ = child.Process.Kill() // most have ended already
		_ = child.Wait()
	})
	return child, bufio.NewScanner(output)
}

const keysPerWrite = 9 // keys in each transaction of a child; their values all start with the same number

// writeUntilKilled writes increasing numbers and prints each once Put has returned. It runs in a child process.
func writeUntilKilled(path string) {
	s, err := Open(path, Options{})
	if err != nil {
		fmt.Println("error", err)
		return
	}
	number := 0
	err = s.Load("n", func(_ string, value []byte) (err error) { number, err = strconv.Atoi(string(value[:10])); return err })
	if err != nil {
		fmt.Println("error", err)
		return
	}
	fmt.Println("open", number)
	for rng := rand.New(rand.NewSource(int64(number))); ; {
		number++
		puts := map[string][]byte{}
		for i := range keysPerWrite {
			puts[fmt.Sprint("k", i)] = fmt.Appendf(nil, "%010d%s", number, strings.Repeat("x", rng.Intn(3000)))
		}
		if err := s.Put(background, "n", puts, nil); err != nil {
			fmt.Println("error", err)
			return
		}
		fmt.Println("written", number)
	}
}

// scanProgress parses one line that writeUntilKilled printed.
func scanProgress(t *testing.T, line string) (number int) {
	var kind string
	_, err := fmt.Sscan(line, &kind, &number)
	require.NoError(t, err, line)
	require.NotEqual(t, "error", kind, line)
	return number
}

// Guards against lost, half-written or mixed transactions after kill -9. A process that is killed at any moment must
// leave the state of one transaction: the last for which Put returned, or the one after it.
func TestStoreSurvivesKill(t *testing.T) {
	path, rng, lastWritten := filepath.Join(t.TempDir(), "s"), rand.New(rand.NewSource(31)), 0
	for range 100 {
		child, lines := startChild(t, "write", path)
		for remaining := rng.Intn(6); remaining >= 0 && lines.Scan(); remaining-- {
			lastWritten = max(lastWritten, scanProgress(t, lines.Text()))
		}
		time.Sleep(time.Duration(rng.Intn(3000)) * time.Microsecond) // kills at a random moment
		require.NoError(t, child.Process.Kill())
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "written ") {
				lastWritten = scanProgress(t, lines.Text())
			}
		}
		require.Error(t, child.Wait(), "the child was killed")
		s, reported := open(t, path, Options{})
		require.Empty(t, reported)
		values, numbers := loadAll(t, s, "n"), map[string]bool{}
		for _, value := range values {
			numbers[value[:10]] = true
		}
		if lastWritten > 0 {
			require.Len(t, values, keysPerWrite)
			require.Len(t, numbers, 1, "a mix of two transactions")
			number, err := strconv.Atoi(values["k0"][:10])
			require.NoError(t, err)
			require.True(t, number == lastWritten || number == lastWritten+1, "last written: %d, stored: %d", lastWritten, number)
			lastWritten = number
		}
		require.NoError(t, s.Close(background))
	}
	require.Greater(t, lastWritten, 100)
}

// setFileSizeLimit sets how large the files of this process may become.
func setFileSizeLimit(limit syscall.Rlimit) {
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		panic(err)
	}
}

// writeUntilDiskIsFull writes until a file size limit stops it, and once more without the limit. It runs in a child process.
func writeUntilDiskIsFull(path string) {
	signal.Ignore(syscall.SIGXFSZ)
	s, err := Open(path, Options{})
	fmt.Println("open", err)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		panic(err)
	}
	setFileSizeLimit(syscall.Rlimit{Cur: 300 << 10, Max: before.Max})
	written := 0
	err = nil
	for attempts := 0; err == nil && attempts < 1000; attempts++ {
		if err = s.Put(background, "n", map[string][]byte{fmt.Sprintf("%04d", written): make([]byte, 9000)}, nil); err == nil {
			written++
		}
	}
	secondErr := s.Put(background, "n", map[string][]byte{"again": make([]byte, 90000)}, nil)
	stored := 0
	loadErr := s.Load("n", func(string, []byte) error { stored++; return nil })
	fmt.Println("full", advice.HasType[*DiskFullError](err), advice.HasType[*DiskFullError](secondErr), stored == written, loadErr)
	setFileSizeLimit(before)
	err = s.Put(background, "n", map[string][]byte{"after": {1}}, nil)
	fmt.Println("after", err, written)
}

// Guards against a full disk that damages the store or loses earlier writes: a write that does not fit is refused, stored
// values stay readable, and writes succeed again once there is space.
func TestFullDiskRefusesWritesAndLosesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	child, lines := startChild(t, "full", path)
	var output []string
	for lines.Scan() {
		output = append(output, lines.Text())
	}
	require.NoError(t, child.Wait())
	require.Len(t, output, 3)
	require.Equal(t, []string{"open <nil>", "full true true true <nil>"}, output[:2])
	var written int
	_, err := fmt.Sscanf(output[2], "after <nil> %d", &written)
	require.NoError(t, err, output[2])
	s, reported := open(t, path, Options{})
	require.Empty(t, reported)
	require.Len(t, loadAll(t, s, "n"), written+1)
	require.Greater(t, written, 5)
}
