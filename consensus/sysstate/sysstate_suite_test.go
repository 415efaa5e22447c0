package sysstate_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSysstate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sysstate")
}
