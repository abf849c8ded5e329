package composer_test

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
)

// A SIGHUP while the settings are first read does not end the process. Without a handler
// it would end this test's process.
func TestHangUpDuringStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	code := make(chan int)
	var errOutput bytes.Buffer
	go func() { code <- composer.RunInstance([]string{"-config", file}, nil, &errOutput, &errOutput) }()
	// The pipe opens once the settings are being read.
	f, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	// A signal to this thread is handled before the call returns. One to the process may be
	// handled by another thread later, when RunInstance has returned and its handler is gone.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	require.NoError(t, syscall.Tgkill(os.Getpid(), syscall.Gettid(), syscall.SIGHUP))
	_, err = f.WriteString("unknown-setting = 1\n")
	require.NoError(t, err)
	require.NoError(t, f.Close())
	assert.Equal(t, composer.ExitSettings, <-code)
	assert.Contains(t, errOutput.String(), "unknown-setting")
}
