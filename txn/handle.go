package txn

import (
	"errors"

	"github.com/waxwingspindle/waxwingspindle/model"
)

type Handle struct {
	Host      model.HostID
	Workspace model.Workspace
	Key       model.KeyID
	Service   model.Service
}

func DecodeHandle([]byte, string) (Handle, error) { return Handle{}, errors.New("not yet") }
