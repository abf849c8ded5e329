package accountant_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/accountant"
)

const _megabyte = 1 << 20

// readLimits returns the accounts of testdata/limits.txt.
func readLimits(t *testing.T) []accountant.Account {
	f, err := os.Open("testdata/limits.txt")
	require.NoError(t, err)
	defer f.Close()
	var accounts []accountant.Account
	for s := bufio.NewScanner(f); s.Scan(); {
		if strings.HasPrefix(s.Text(), "#") {
			continue
		}
		var a accountant.Account
		_, err := fmt.Sscan(s.Text(), &a.MemoryLimit, &a.DescriptorsLimit)
		require.NoError(t, err)
		a.MemoryLimit *= _megabyte
		accounts = append(accounts, a)
	}
	return accounts
}

func sum(a accountant.Account) int64 {
	total := int64(0)
	for _, r := range a.Rows() {
		total += r.Sum()
	}
	return total
}

// Guards against bounds that each hold and together exceed the memory of the instance.
func TestSumIsWithinLimit(t *testing.T) {
	for _, a := range readLimits(t) {
		assert.LessOrEqual(t, sum(a), a.MemoryLimit, "%d MB", a.MemoryLimit/_megabyte)
		assert.GreaterOrEqual(t, a.Callers(), 20, "%d MB, %d descriptors", a.MemoryLimit/_megabyte, a.DescriptorsLimit)
		if a.DescriptorsLimit > 0 {
			assert.LessOrEqual(t, 2*a.Callers(), a.DescriptorsLimit*3/4, "a quarter of the descriptors is for neither callers nor upstreams")
		}
	}
}

// Guards against a soft limit of the Go runtime that leaves no room for the unread bytes of all
// connections, and against one too small for what the process keeps.
func TestHeapLimit(t *testing.T) {
	for _, a := range readLimits(t) {
		unread := int64(a.Callers()) * accountant.UnreadBytes(a.CallerBuffer())
		limit := a.HeapLimit(unread)
		assert.LessOrEqual(t, limit+unread, a.MemoryLimit*2/3, "%d MB", a.MemoryLimit/_megabyte)
		assert.GreaterOrEqual(t, limit, a.MemoryLimit/3, "%d MB", a.MemoryLimit/_megabyte)
	}
}

func TestNoLimits(t *testing.T) {
	var a accountant.Account
	assert.Zero(t, a.Callers())
	assert.Zero(t, a.Bodies())
	assert.Zero(t, a.CallerBuffer())
	assert.Zero(t, a.BodyBuffer())
	assert.Zero(t, a.DialBuffer())
	assert.Zero(t, a.Backlog())
	assert.Equal(t, 375, accountant.Account{DescriptorsLimit: 1000}.Callers())
}

// Guards against a page that tells operators another division than the process makes.
func TestCapacityPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "## The account of an instance's memory\n")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	for _, a := range []accountant.Account{
		{MemoryLimit: 284 * _megabyte, DescriptorsLimit: 4200}, {MemoryLimit: 184 * _megabyte, DescriptorsLimit: 4100},
	} {
		assert.Contains(t, section, table(a))
	}
}

// table returns the account as a table in Markdown.
func table(a accountant.Account) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %d MB, %d descriptors | each, KB | at most | MB |\n|---|---|---|---|\n", a.MemoryLimit/_megabyte, a.DescriptorsLimit)
	for _, r := range a.Rows() {
		fmt.Fprintf(&b, "| %s | %d | %d | %.1f |\n", r.Name, r.Each>>10, r.Count, float64(r.Sum())/_megabyte)
	}
	fmt.Fprintf(&b, "| sum | | | %.1f |\n", float64(sum(a))/_megabyte)
	return b.String()
}
