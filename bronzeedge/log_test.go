package bronzeedge

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The log's output is no longer read, and the pipe is full. Packets are handled by the
// goroutine that logs, so a blocked line would make callers wait.
func TestLogDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		l := NewLog(w)
		start := time.Now()
		for range 100 {
			for range maxLinesPerSecond {
				l.Line("Flow", Fields{"Reason": strings.Repeat("x", 50)})
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, 100*time.Second, time.Since(start), "no line blocked")
		require.LessOrEqual(t, len(l.pending), maxPendingLines)
		_ = r.Close()
		l.Close()
		synctest.Wait()
	})
}

func TestLogDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLog(&out)
		for range maxLinesPerSecond + 7 {
			l.Line("Flow", nil)
		}
		time.Sleep(2 * time.Second)
		l.Line("Flow", nil)
		l.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Len(t, lines, maxLinesPerSecond+2)
		require.Contains(t, lines[maxLinesPerSecond], `"Lines":{"Flow":7}`)
	})
}
