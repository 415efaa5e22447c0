package settings_test

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/settings"
)

// Guards against examples that users copy and the loader rejects.
var _ = Describe("The example folders", func() {
	It("hold the system configuration of resin", func() {
		config, origins, err := settings.LoadSystem("../examples/resin/system")
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Classes).To(HaveLen(3))
		Expect(config.Tenants).To(HaveLen(3))
		Expect(config.Classes["moisture-review"].MaxQueue).To(Equal(3000))
		Expect(config.Classes["moisture-review"].SharePercent).To(Equal(15.0))
		origin := origins.Of("class.moisture-review", "max_queue")
		Expect(filepath.Base(origin.File)).To(Equal("90-season.ini"))
		Expect(origin.Overridden).To(HaveLen(1))
	})

	It("hold the system configuration of lanyards", func() {
		config, _, err := settings.LoadSystem("../examples/lanyards/system")
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Classes).To(HaveLen(3))
		Expect(config.Tenants["port-gate"].Weight).To(Equal(2.5))
	})

	It("hold the settings of one instance each", func() {
		resin, err := settings.LoadDaemon("../examples/resin/instance")
		Expect(err).NotTo(HaveOccurred())
		Expect(resin.Instance.Voter()).To(BeTrue())
		Expect(resin.OtherPeers()).To(HaveLen(3))
		lanyards, err := settings.LoadDaemon("../examples/lanyards/instance")
		Expect(err).NotTo(HaveOccurred())
		Expect(lanyards.Instance.Voter()).To(BeFalse())
		Expect(lanyards.TLS.Link.Enabled()).To(BeTrue())
	})
})
