package processes_test

import (
	"io"
	"os"
	"os/exec"
	"regexp"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
)

// Neither a hang-up nor the loss of the reader of its log ends a process, which may have
// requests in progress.
func TestLostLogReaderAndHangUpKeepProcess(t *testing.T) {
	t.Parallel()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	c := exec.Command(os.Args[0], "-name", "n1", "-data-centre", "qld-bne", "-platform", "http://127.0.0.1:1", "-peer-secret", "0123456789abcdef0123",
		"-callers-listen", "127.0.0.1:0", "-operator-listen", "127.0.0.1:0", "-peer-listen", "127.0.0.1:0", "-metrics-listen", "127.0.0.1:0", "-drain-notice", "0s")
	c.Env = append(os.Environ(), _programEnv+"=entry")
	c.Stderr = writer
	input, err := c.StdinPipe()
	require.NoError(t, err)
	defer input.Close()
	require.NoError(t, c.Start())
	require.NoError(t, writer.Close())
	readUntil(t, reader, `event=platform-away`)
	require.NoError(t, reader.Close())
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	require.NoError(t, c.Wait())
	assert.Equal(t, composer.ExitOK, c.ProcessState.ExitCode())
}

// readUntil reads until the text matches a pattern.
func readUntil(t *testing.T, r io.Reader, pattern string) {
	t.Helper()
	var text []byte
	buffer := make([]byte, 4<<10)
	for re := regexp.MustCompile(pattern); !re.Match(text); {
		n, err := r.Read(buffer)
		text = append(text, buffer[:n]...)
		require.NoError(t, err, "%s", text)
	}
}
