"""Values that instances pack for each other."""

import unittest

from lagoonbend.exceptions import PeerError
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import value_packer
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.coordination.packing import Packing
from lagoonbend_entry._internal.coordination.value_packer import ValuePacker
from tests.lib.link_world import encode_document

OLD = encode_document(1, 1_450)
NEW = encode_document(2, 1_450, 7)
DIGEST = value_packer.compute_digest(NEW)


class ValuePackerTest(unittest.TestCase):
    """What is unpacked is what was packed, or an error."""

    def setUp(self) -> None:
        """Let the sender have both values and the receiver one."""
        self.sender = ValuePacker()
        self.base_digest = self.sender.keep(OLD)
        self.receiver = ValuePacker()
        self.receiver.keep(OLD)

    def test_patch_holds_the_difference_alone(self) -> None:
        """One route of 1,450 takes less than a frame of the network."""
        packing, content = self.sender.pack(NEW, self.base_digest)
        self.assertEqual(Packing.PATCH, packing)
        self.assertLess(len(content), 1_400)
        self.assertEqual(
            NEW,
            self.receiver.unpack(packing, content, self.base_digest, DIGEST),
        )

    def test_receiver_without_the_base_gets_all(self) -> None:
        """So does one whose base the sender doesn't have."""
        for base_digest in (value_packer.NO_DIGEST, 5):
            packing, content = self.sender.pack(NEW, base_digest)
            self.assertEqual(Packing.COMPRESSED, packing)
            self.assertLess(len(content), len(NEW) / 2)
            self.assertEqual(
                NEW, ValuePacker().unpack(packing, content, 5, DIGEST)
            )

    def test_peers_of_earlier_builds_get_plain_values(self) -> None:
        """Their requests name no digest."""
        item = PublishedItem('rules', 3, NEW, 1)
        for base_digest, is_plain in ((None, True), (self.base_digest, False)):
            wanted = messages.ItemsWanted(7, 2, 1, 1, base_digest)
            message = wire_codec.encode_items(
                wanted, [item], (1, 3), 0, self.sender
            )
            self.assertEqual(is_plain, message.items[0].value == NEW)
            self.assertEqual(
                [item], wire_codec.decode_items(message, self.receiver)
            )

    def test_small_values_stay_plain(self) -> None:
        """Registrations of targets are sent as they are."""
        packing, content = self.sender.pack(b'{}', self.base_digest)
        self.assertEqual((Packing.PLAIN, b'{}'), (packing, content))
        self.assertEqual(b'{}', self.receiver.unpack(packing, content, 0, 0))

    # Guards against a configuration that is patched together wrongly.
    def test_patch_that_does_not_fit_is_an_error(self) -> None:
        """An unknown base, another value, cut or foreign bytes."""
        packing, content = self.sender.pack(NEW, self.base_digest)
        other = ValuePacker()
        other_digest = other.keep(OLD.replace(b'4000', b'4001'))
        for receiver, base_digest, packed, digest in (
            (ValuePacker(), self.base_digest, content, DIGEST),
            (other, other_digest, content, DIGEST),
            (self.receiver, self.base_digest, content, DIGEST + 1),
            (self.receiver, self.base_digest, content[:-3], DIGEST),
            (self.receiver, self.base_digest, b'foreign', DIGEST),
        ):
            with self.assertRaises(PeerError):
                receiver.unpack(packing, packed, base_digest, digest)

    # Guards against a small frame that fills the memory when unpacked.
    def test_size_of_a_value_is_bounded(self) -> None:
        """A frame that names more is not unpacked."""
        size = value_packer.MAX_VALUE_BYTES + 1
        packing, content = ValuePacker().pack(bytes(size), 0)
        with self.assertRaisesRegex(PeerError, 'bytes'):
            self.receiver.unpack(
                packing, content, 0, value_packer.compute_digest(bytes(size))
            )

    def test_kept_values_are_bounded(self) -> None:
        """Old configurations are no base for ever."""
        for version in range(value_packer.KEPT_VALUES):
            self.sender.keep(encode_document(version, 50))
        packing, _ = self.sender.pack(NEW, self.base_digest)
        self.assertEqual(Packing.COMPRESSED, packing)


if __name__ == '__main__':
    unittest.main()
