// Package loopback gives tests addresses on loopback of their own, so that no other process takes a port between its choice
// and its use, or while a stopped process has left it.
package loopback

import (
	"fmt"
	"os"
)

// Address returns an IP address that belongs to this process. Numbers from 1 to 254 tell its addresses apart.
func Address(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)&0x7f, pid&0xff, number)
}
