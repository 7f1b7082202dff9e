// Package loopback provides per-process loopback addresses for tests. No other process can take a port on such an address
// between its selection and its use, or while the process that used it is stopped.
package loopback

import (
	"fmt"
	"os"
)

// Address returns a loopback IP address derived from the process id. The number, from 1 to 254, selects one of the
// process's addresses.
func Address(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)&0x7f, pid&0xff, number)
}
