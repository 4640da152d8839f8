"""Tests of the operators' page of the external processor: its files load, and it names the headers, reasons
and keys that the code has."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import yaml
from envoy.config.bootstrap.v3 import bootstrap_pb2
from envoy.extensions.filters.http.ext_proc.v3 import ext_proc_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.http.upstream_codec.v3 import upstream_codec_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.extensions.http.early_header_mutation.header_mutation.v3 import header_mutation_pb2
from envoy.extensions.load_balancing_policies.override_host.v3 import override_host_pb2
from envoy.extensions.load_balancing_policies.round_robin.v3 import round_robin_pb2
from envoy.extensions.upstreams.http.v3 import http_protocol_options_pb2
from google.protobuf import json_format

from glenchute.config.operator import parse
from glenchute.listeners.extproc import messages, responses, server
from tests.platform_facts import FACTS

PAGE = (Path(__file__).resolve().parents[3] / "docs" / "operators" / "extproc.md").read_text()
# These modules are imported so that protobuf can resolve their messages in fields of type Any.
KNOWN = (
    ext_proc_pb2, router_pb2, upstream_codec_pb2, http_connection_manager_pb2, header_mutation_pb2,
    override_host_pb2, round_robin_pb2, http_protocol_options_pb2,
)  # fmt: skip


def code_block(language: str) -> str:
    """Returns the page's only code block in a language."""
    (found,) = re.findall(rf"```{language}\n(.*?)```", PAGE, re.S)
    return str(found)


def proxy_config() -> Any:
    """Parses the page's proxy configuration by the published API; a field that the API lacks raises."""
    bootstrap = bootstrap_pb2.Bootstrap()
    json_format.ParseDict(yaml.safe_load(code_block("yaml")), bootstrap)
    return bootstrap


def unpack(packed: Any, kind: Any) -> Any:
    """Unpacks the message that a field of type Any holds."""
    message = kind()
    assert packed.Unpack(message), packed.type_url
    return message


def test_the_operators_file_of_the_page_loads() -> None:
    reading = parse(code_block("toml"), FACTS)
    assert reading.findings == () and reading.config is not None


def test_the_proxys_configuration_is_of_the_published_api() -> None:
    (listener,) = proxy_config().static_resources.listeners
    (network,) = listener.filter_chains[0].filters
    manager = unpack(network.typed_config, http_connection_manager_pb2.HttpConnectionManager)
    request, router = manager.http_filters
    downstream_filter = unpack(request.typed_config, ext_proc_pb2.ExternalProcessor)
    attempt, codec = unpack(router.typed_config, router_pb2.Router).upstream_http_filters
    upstream_filter = unpack(attempt.typed_config, ext_proc_pb2.ExternalProcessor)
    unpack(codec.typed_config, upstream_codec_pb2.UpstreamCodec)
    for each in (downstream_filter, upstream_filter):
        assert not each.failure_mode_allow and not each.observability_mode
        assert each.response_attributes == ["response.code_details"]
        modes = ext_proc_pb2.ExternalProcessor.DESCRIPTOR.fields_by_name["processing_mode"].message_type
        send = modes.fields_by_name["response_header_mode"].enum_type.values_by_name["SEND"].number
        assert each.processing_mode.response_header_mode == send
    # Without this rule the proxy ignores the processor's timeouts.
    assert downstream_filter.mutation_rules.allow_envoy.value
    assert downstream_filter.metadata_options.receiving_namespaces.untyped == [messages.LB_METADATA_NAMESPACE]
    role = {each.key: each.value for each in upstream_filter.grpc_service.initial_metadata}
    assert role == {server.ROLE_METADATA: "upstream"} and not downstream_filter.grpc_service.initial_metadata
    assert upstream_filter.request_attributes == ["upstream.address"]
    (host,) = manager.route_config.virtual_hosts
    assert host.include_request_attempt_count


def test_clients_can_not_bring_what_only_the_processor_may_say() -> None:
    (listener,) = proxy_config().static_resources.listeners
    manager = unpack(
        listener.filter_chains[0].filters[0].typed_config, http_connection_manager_pb2.HttpConnectionManager
    )
    (mutation_extension,) = manager.early_header_mutation_extensions
    removed_headers = {
        each.remove
        for each in unpack(mutation_extension.typed_config, header_mutation_pb2.HeaderMutation).mutations
    }
    assert removed_headers == {responses.TOKEN_HEADER, messages.LB_ENDPOINT_KEY}


def test_the_nodes_are_chosen_by_the_processor() -> None:
    nodes, processor = proxy_config().static_resources.clusters
    (policy,) = nodes.load_balancing_policy.policies
    override = unpack(policy.typed_extension_config.typed_config, override_host_pb2.OverrideHost)
    by_metadata, by_header = override.override_host_sources
    assert (
        by_metadata.metadata.key == messages.LB_METADATA_NAMESPACE
        and by_metadata.metadata.path[0].key == messages.LB_ENDPOINT_KEY
    )
    assert by_header.header == messages.LB_ENDPOINT_KEY
    (packed,) = processor.typed_extension_protocol_options.values()
    options = unpack(packed, http_protocol_options_pb2.HttpProtocolOptions)
    assert options.explicit_http_config.HasField("http2_protocol_options")


def test_the_page_names_every_header_and_reason() -> None:
    for name in (
        responses.TOKEN_HEADER,
        responses.RETRY_HEADER,
        responses.REASON_HEADER,
        responses.EFFECT_HEADER,
        responses.ROUTE_TIMEOUT_HEADER,
        "retry-after",
    ):
        assert f"`{name}" in PAGE, name
    modules = Path(responses.__file__).parent.glob("*.py")
    source = "".join(module.read_text() for module in modules)
    reasons = set(re.findall(r'failure_response\("([a-z-]+)"\)', source))
    reasons |= {"table-full", "refused", "id-in-use", "other-node"}
    for reason in reasons:
        assert f"`{reason}`" in PAGE, reason


def test_the_page_names_every_key_of_the_file() -> None:
    from glenchute.config.extproc_shape import EXTPROC

    for key in EXTPROC.keys:
        assert re.search(rf"\b{key}\b", code_block("toml")), key
    for module in KNOWN:
        assert module.DESCRIPTOR.name.startswith("envoy/")
