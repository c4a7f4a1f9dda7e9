//go:build cgo

package bronzesignal

/*
#include <signal.h>

// The Go runtime keeps SIGHUP ignored if it finds it so, until it is asked for.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
