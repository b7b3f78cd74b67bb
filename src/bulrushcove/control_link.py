"""Stream from an entry to the control of its VM."""

from contextlib import suppress

from mode import Service

from .configuration import Configuration
from .configuration_holder import ConfigurationHolder
from .exceptions import PeerUnreachableError, WireError
from .messages import (
    Acknowledged,
    ClusterView,
    ConfigurationPush,
    ConfigurationRequest,
    Hello,
    JobNotice,
    JobStanding,
    parse_message,
)
from .settings import Settings
from .streams import StreamClient
from .wire import Frame

REQUEST_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 1.0


class ControlLink(Service):
    """Receives the configuration and the cluster view from the control."""

    def __init__(self, settings: Settings, hello: Hello) -> None:
        """Connect to the control of the VM of ``settings`` once started."""
        super().__init__()
        self.configuration_holder = ConfigurationHolder()
        self.view: ClusterView | None = None
        self._client = StreamClient(
            settings.control.host,
            settings.control.stream_port,
            hello,
            self._on_frame,
        )

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration received; revision 0 before any."""
        return self.configuration_holder.current

    @property
    def is_connected(self) -> bool:
        """Return whether the stream to the control is open."""
        return self._client.is_connected

    async def notify_job(self, notice: JobNotice) -> JobStanding:
        """Send ``notice`` to the control, which passes it on.

        Returns the decision of the active control of the job's domain. Raises
        ``PeerUnreachableError``; that control then finds the record in its
        next scan.
        """
        return await self._client.request(
            notice, JobStanding, REQUEST_TIMEOUT_S
        )

    async def push_configuration(self, configuration: Configuration) -> None:
        """Send an accepted configuration to the control and its peers.

        If the control is unreachable, their next poll finds it.
        """
        self.configuration_holder.adopt(configuration)
        push = ConfigurationPush(configuration)
        with suppress(PeerUnreachableError):
            await self._client.request(push, Acknowledged, REQUEST_TIMEOUT_S)

    async def on_start(self) -> None:
        """Open the stream."""
        await self.add_runtime_dependency(self._client)

    @Service.task
    async def _catch_up(self) -> None:
        """Request the configuration repeatedly: a push may have been lost."""
        while not self.should_stop:
            await self._request_configuration()
            await self.sleep(POLL_INTERVAL_S)

    async def _request_configuration(self) -> None:
        request = ConfigurationRequest(newer_than=self.configuration.revision)
        try:
            push = await self._client.request(
                request,
                ConfigurationPush,
                REQUEST_TIMEOUT_S,
            )
        except (PeerUnreachableError, WireError):
            return
        self._adopt(push)

    async def _on_frame(
        self,
        _peer: Hello,
        frame: Frame,
    ) -> None:
        if frame.kind == ConfigurationPush.__name__:
            self._adopt(parse_message(ConfigurationPush, frame.fields))
        elif frame.kind == ClusterView.__name__:
            self.view = parse_message(ClusterView, frame.fields)
        else:
            raise WireError(f'unknown frame kind {frame.kind!r}')

    def _adopt(self, push: ConfigurationPush) -> None:
        if push.configuration is not None:
            self.configuration_holder.adopt(push.configuration)
