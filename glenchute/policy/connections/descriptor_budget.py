"""Divides the file descriptors of a process between client, server and counter connections.

The parts and what the process needs for itself add up to no more than the limit, from the least limit that
the platform may state on, so that idle clients cannot starve discovery, the counter or the servers of
descriptors.
"""

from __future__ import annotations

from ..record import record

# 3 standard streams, 11 of the event loop and of client-close detection (one is reserved to reject clients
# when no other is left), 1 listener, 3 discovery calls, 2 files, 2 unassigned.
PROCESS_DESCRIPTORS = 22
OPERATIONS_DESCRIPTORS = 9  # the operations address and its connections, where the platform names one
MAX_OVERFLOW_CONNECTIONS = 16
MIN_COUNTER_CONNECTIONS, MAX_COUNTER_CONNECTIONS = 2, 12


@record(frozen=True, slots=True)
class DescriptorBudget:
    """The most connections of each kind that a process may have open.

    `requesting_connections`: client connections that may have carried a request, a third of all descriptors,
    as the platform's clients assume. `overflow_connections`: client connections beyond `client_connections`
    while they are rejected or closing.
    """

    client_connections: int
    requesting_connections: int
    overflow_connections: int
    server_connections: int
    counter_connections: int


def divide_descriptors(descriptors: int, has_operations_address: bool = False) -> DescriptorBudget:
    """The budget for a process that may open `descriptors` file descriptors.

    Clients get half and servers three tenths where descriptors are plentiful; otherwise the two share what
    the other parts leave, three to one: a server connection is free again after each response, a client
    occupies its slot until it disconnects.
    """
    counter = min(MAX_COUNTER_CONNECTIONS, max(MIN_COUNTER_CONNECTIONS, descriptors // 16))
    overflow = min(MAX_OVERFLOW_CONNECTIONS, descriptors // 16)
    own = PROCESS_DESCRIPTORS + OPERATIONS_DESCRIPTORS * has_operations_address
    remaining = max(2, descriptors - own - counter - overflow)
    clients = max(1, min(descriptors // 2, remaining * 3 // 4))
    servers = max(1, min(descriptors * 3 // 10, remaining - clients))
    return DescriptorBudget(clients, descriptors // 3, overflow, servers, counter)
