"""Stream of an entry to the control of its VM."""

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
    """Receives configuration and cluster view from the own control."""

    def __init__(self, settings: Settings, hello: Hello) -> None:
        """Connect to the control that ``settings`` name, once started."""
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
        """Return the newest configuration seen; revision 0 before any."""
        return self.configuration_holder.current

    @property
    def is_connected(self) -> bool:
        """Return whether the stream to the control is open."""
        return self._client.is_connected

    async def notify_job(self, notice: JobNotice) -> JobStanding:
        """Have the control pass ``notice`` on; tells how the job stands.

        Raises ``PeerUnreachableError``; the job's record is found by the next
        scan of its domain's active control in any case.
        """
        return await self._client.request(
            notice, JobStanding, REQUEST_TIMEOUT_S
        )

    async def push_configuration(self, configuration: Configuration) -> None:
        """Hand an accepted configuration to the control and its peers.

        Without a stream to the control they find it by their next poll.
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
        """Ask for the configuration: a push may have been lost."""
        while not self.should_stop:
            await self._ask_configuration()
            await self.sleep(POLL_INTERVAL_S)

    async def _ask_configuration(self) -> None:
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
