"""Divides the file descriptors of a process between client, server and counter connections.

The parts and the descriptors reserved for the process itself never exceed the limit, for every limit that the
platform's file accepts, so that idle clients cannot starve discovery, the counter or the servers of
descriptors.
"""

from __future__ import annotations

from ..record import record

# 3 standard streams, 11 for the event loop and client-close detection (including a spare one for rejecting
# clients when no other is left), 1 listener, 3 discovery calls, 2 files, 2 unassigned.
PROCESS_DESCRIPTORS = 22
OPERATIONS_DESCRIPTORS = 9  # reserved for the operations address and its connections, if it is configured
MAX_OVERFLOW_CONNECTIONS = 16
MIN_COUNTER_CONNECTIONS, MAX_COUNTER_CONNECTIONS = 2, 12


@record(frozen=True, slots=True)
class DescriptorBudget:
    """The maximum number of open connections of each kind in a process.

    `requesting_connections`: client connections that may have carried a request; a third of all descriptors,
    as the platform's clients assume. `overflow_connections`: client connections allowed beyond
    `client_connections` while they are being rejected or closed.
    """

    client_connections: int
    requesting_connections: int
    overflow_connections: int
    server_connections: int
    counter_connections: int


def divide_descriptors(descriptors: int, has_operations_address: bool = False) -> DescriptorBudget:
    """Returns the budget for a process that may open `descriptors` file descriptors.

    With plenty of descriptors, clients get half of them and servers three tenths. Otherwise the two share the
    rest three to one, because a server connection is free again after each response while a client occupies
    its slot until it disconnects.
    """
    counter = min(MAX_COUNTER_CONNECTIONS, max(MIN_COUNTER_CONNECTIONS, descriptors // 16))
    overflow = min(MAX_OVERFLOW_CONNECTIONS, descriptors // 16)
    process_reserve = PROCESS_DESCRIPTORS + OPERATIONS_DESCRIPTORS * has_operations_address
    remaining = max(2, descriptors - process_reserve - counter - overflow)
    clients = max(1, min(descriptors // 2, remaining * 3 // 4))
    servers = max(1, min(descriptors * 3 // 10, remaining - clients))
    return DescriptorBudget(clients, descriptors // 3, overflow, servers, counter)
