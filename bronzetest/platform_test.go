package bronzetest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

// watch starts a watch for a revision after rev and returns a channel that is
// closed when it has ended, with the result in v and err.
func watch(t *testing.T, p *Platform, rev uint64, v *bronzeconf.Value, err *error) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		*v, *err = p.Adapter().Watch(t.Context(), bronzeconf.IndexName, rev)
	}()
	synctest.Wait()
	return done
}

func TestPlatformWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Platform
		_, err := p.Publish(map[string][]byte{"a": []byte("1")})
		require.NoError(t, err)
		var v bronzeconf.Value
		done := watch(t, &p, 1, &v, &err)
		_, _ = p.Publish(map[string][]byte{"a": nil})
		<-done
		require.NoError(t, err)
		require.Equal(t, uint64(2), v.Revision)
		_, err = p.Adapter().Read(t.Context(), "a")
		require.ErrorIs(t, err, bronzeconf.ErrNotFound)

		done = watch(t, &p, 2, &v, &err)
		p.SetDown(true)
		<-done
		require.ErrorIs(t, err, ErrDown)
		require.Equal(t, 3, p.Reads())
	})
}

func TestPlatformVisibleRevisionAndDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Platform
		for _, body := range []string{"1", "2"} {
			_, err := p.Publish(map[string][]byte{"a": []byte(body)})
			require.NoError(t, err)
		}
		p.SetVisibleRevision(1)
		p.SetDelay(time.Minute)
		begun := time.Now()
		v, err := p.Adapter().Read(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, bronzeconf.Value{Revision: 1, Body: []byte("1")}, v)
		require.Equal(t, time.Minute, time.Since(begun))
		p.SetVisibleRevision(0)
		v, err = p.Adapter().Read(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, uint64(2), v.Revision)
	})
}
