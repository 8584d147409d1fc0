package load_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamstage/hornbeamstage/load"
)

var _ = DescribeTable("rejects a report with a negative value", func(r load.Report) {
	Expect(r.Validate()).NotTo(Succeed())
},
	Entry("running", load.Report{Running: -1}),
	Entry("waiting", load.Report{Waiting: -1}),
	Entry("waiting prompt tokens", load.Report{WaitingPromptTokens: -1}),
	Entry("cached tokens", load.Report{CachedTokens: -1}),
	Entry("cache capacity", load.Report{CacheCapacityTokens: -1}),
	Entry("age", load.Report{AgeSeconds: -1}),
)
