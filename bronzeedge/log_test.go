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

// Nobody reads the log's output any more, and the pipe is full. Packets are
// handled by the goroutine that logs: if a line waited, callers would.
func TestLogNeverWaitsForItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		l := NewLog(w)
		begun := time.Now()
		for range 100 {
			for range logPerSecond {
				l.Line("Flow", Fields{"Reason": strings.Repeat("x", 50)})
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, 100*time.Second, time.Since(begun), "no line waited")
		require.LessOrEqual(t, len(l.pending), logPending)
		_ = r.Close()
		l.Close()
		synctest.Wait()
	})
}

func TestLogSaysWhatItLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLog(&out)
		for range logPerSecond + 7 {
			l.Line("Flow", nil)
		}
		time.Sleep(2 * time.Second)
		l.Line("Flow", nil)
		l.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Len(t, lines, logPerSecond+2)
		require.Contains(t, lines[logPerSecond], `"Lines":{"Flow":7}`)
	})
}
